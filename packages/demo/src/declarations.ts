import {createHash} from 'node:crypto';

/** Computes the digest under which a key stands in declarations and key files. */
export function digestKey(key: string): string {
	return createHash('sha256').update(key).digest('hex');
}

/** Creates the configuration of the demonstration: three presets, two organisations, a model and a service. */
export function createDeclarations(okahandjaKey: string, antioquiaKey: string): string {
	const preset = (name: string, long: number, description: string) => `kind: preset
name: ${name}
description: ${description}
weights: {firstToken: 1, recompute: 0.1, link: 0.02}
limits:
  short: {concurrent: 100, perSecond: 200}
  long: {concurrent: ${long}, perSecond: 20}
  service: {concurrent: 100, perSecond: 200}
`;
	const organisation = (name: string, key: string) => `kind: organisation
name: ${name}
keyDigests: [${digestKey(key)}]
`;

	return [
		preset('ordinary', 20, 'an ordinary day'),
		preset('peak', 8, 'fewer long prompts at once'),
		preset('maintenance', 1, 'hardly any long prompts'),
		organisation('okahandja', okahandjaKey),
		organisation('antioquia', antioquiaKey),
		'kind: model\nname: assistant\n',
		'kind: service\nname: work-orders\n',
	].join('---\n');
}
