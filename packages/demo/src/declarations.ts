import {createHash} from 'node:crypto';

/** Computes the digest that represents a key in declarations and key files. */
export function digestKey(key: string): string {
	return createHash('sha256').update(key).digest('hex');
}

/** Creates the configuration of the demonstration: three presets, two organisations, one model and one service. */
export function createDeclarations(firstOrganisationKey: string, secondOrganisationKey: string): string {
	const createPreset = (name: string, maxConcurrentLong: number, description: string) => `kind: preset
name: ${name}
description: ${description}
weights: {firstToken: 1, recompute: 0.1, link: 0.02}
limits:
  short: {concurrent: 100, perSecond: 200}
  long: {concurrent: ${maxConcurrentLong}, perSecond: 20}
  service: {concurrent: 100, perSecond: 200}
`;
	const createOrganisation = (name: string, key: string) => `kind: organisation
name: ${name}
keyDigests: [${digestKey(key)}]
`;

	return [
		createPreset('ordinary', 20, 'an ordinary day'),
		createPreset('peak', 8, 'fewer long prompts at once'),
		createPreset('maintenance', 1, 'hardly any long prompts'),
		createOrganisation('okahandja', firstOrganisationKey),
		createOrganisation('antioquia', secondOrganisationKey),
		'kind: model\nname: assistant\n',
		'kind: service\nname: work-orders\n',
	].join('---\n');
}
