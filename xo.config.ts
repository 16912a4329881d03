/**
XO configuration. XO's stylistic rules are the project's formatter as well as
its linter: `npm run format` rewrites, `npm run lint` only checks.
*/
import {type FlatXoConfig} from 'xo';

const config: FlatXoConfig = [
	{
		ignores: ['**/dist/**', '**/gen/**'],
	},
	{
		rules: {
			// The brief asks for the short names that custom has.
			'unicorn/prevent-abbreviations': 'off',
			// Protocol JSON and caller-visible JSON use null where a field is known to be empty.
			'unicorn/no-null': 'off',
			// Streams and retries are sequential by nature.
			'no-await-in-loop': 'off',
			// Header names and JSON fields of outside protocols keep their own spelling.
			'@typescript-eslint/naming-convention': 'off',
			// A handler names the messages that it answers; the rest get one refusal.
			'@typescript-eslint/switch-exhaustiveness-check': ['error', {considerDefaultExhaustiveForUnions: true}],
			// One argument object reads better than a rule about counts; the type checker covers the rest.
			'max-params': ['error', 5],
		},
	},
	{
		files: ['**/__tests__/**', '*.config.ts', '*.setup.ts', 'scripts/**', 'playground/**'],
		rules: {
			// Development tools stand once, in the workspace's own package.json.
			'import-x/no-extraneous-dependencies': 'off',
			'n/no-extraneous-import': 'off',
		},
	},
];

export default config;
