// Bundles the daemon of platform/ into one file, which loads in a fraction of the processor time that the separate packages take.
import {build} from 'esbuild';

await build({
	entryPoints: ['platform/src/main.ts'],
	outfile: 'target/fescuestaird.mjs',
	bundle: true,
	platform: 'node',
	target: 'node20',
	format: 'esm',
	conditions: ['source'],
	legalComments: 'none',
	// Bundled CommonJS packages load Node's built-in modules with `require`, which ES modules do not define.
	banner: {js: 'import {createRequire as createBundleRequire} from \'node:module\'; const require = createBundleRequire(import.meta.url);'},
});
