// Bundles the daemon for the users' machines into one file: loading one file costs a fraction of loading all packages.
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
	// Packages in CommonJS call for modules of Node by `require`.
	banner: {js: 'import {createRequire as createBundleRequire} from \'node:module\'; const require = createBundleRequire(import.meta.url);'},
});
