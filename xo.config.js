/** Linter settings; each rule that is set aside says why. */
const settings = [
	{
		ignores: ['**/dist/**', 'target/**', 'journal/**', '.data/**'],
	},
	{
		files: ['**/*.ts'],
		rules: {
			// Retries, log appends and resumes are sequences by nature.
			'no-await-in-loop': 'off',
			// Decoded messages are checked by schema at the boundary, then asserted once.
			'@typescript-eslint/no-unsafe-type-assertion': 'off',
			// Numbers appear in log lines and messages.
			'@typescript-eslint/restrict-template-expressions': ['error', {allowNumber: true}],
			// A default branch deals with every kind that is not named.
			'@typescript-eslint/switch-exhaustiveness-check': ['error', {considerDefaultExhaustiveForUnions: true}],
			// Node's APIs take async listeners whose errors are handled inside.
			'@typescript-eslint/strict-void-return': 'off',
		},
	},
	{
		// Field names of the public wire format are snake case.
		files: ['packages/protocol/src/openai/**/*.ts', 'packages/protocol/src/refusal.ts', 'packages/standins/src/**/*.ts', 'packages/demo/src/**/*.ts'],
		rules: {
			'@typescript-eslint/naming-convention': 'off',
		},
	},
	{
		// Node's sockets, HTTP and file calls hand out buffers; another type would mean a copy of every body, event and frame.
		files: [
			'packages/gateway/src/**/*.ts',
			'packages/runtime/src/**/*.ts',
			'packages/transport/src/{byte-collector,event-collector,message-pack-bounds,link-frames,read-message,request-bodies,__tests__/unit/frames.test}.ts',
			'platform/src/**/*.ts',
		],
		rules: {
			'@typescript-eslint/no-restricted-types': 'off',
		},
	},
	{
		// Field names of the platform's messages are its own.
		files: ['platform/src/**/*.ts'],
		rules: {
			'@typescript-eslint/naming-convention': 'off',
		},
	},
	{
		// The test runner stands at the root of the workspace and runs the built files.
		files: ['**/__tests__/**/*.ts'],
		rules: {
			'ava/no-ignored-test-files': 'off',
			'import-x/no-extraneous-dependencies': 'off',
			'n/no-extraneous-import': 'off',
		},
	},
	{
		// Programs end themselves with an exit code.
		files: ['packages/*/src/main.ts', 'packages/daemon/src/run-daemon.ts', 'platform/src/main.ts'],
		rules: {
			'unicorn/no-process-exit': 'off',
		},
	},
];

export default settings;
