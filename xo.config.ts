/**
XO configuration. XO's stylistic rules are the project's formatter as well as
its linter: `npm run format` rewrites files, `npm run lint` only checks them.
*/
import {type FlatXoConfig} from 'xo';

const config: FlatXoConfig = [
	{
		ignores: ['**/dist/**', '**/gen/**'],
	},
	{
		rules: {
			// Short customary names (`req`, `res`, `cfg`, `err`) are allowed.
			'unicorn/prevent-abbreviations': 'off',
			// Protocol JSON and caller-visible JSON use null for a field that is known to be empty.
			'unicorn/no-null': 'off',
			// Streams and retries are inherently sequential.
			'no-await-in-loop': 'off',
			// Header names and JSON fields of external protocols keep their own spelling.
			'@typescript-eslint/naming-convention': 'off',
			// A handler lists the messages that it answers and refuses all others in the default case.
			'@typescript-eslint/switch-exhaustiveness-check': ['error', {considerDefaultExhaustiveForUnions: true}],
			// No strict limit is needed: an options object reads better than many parameters, and the type checker covers the rest.
			'max-params': ['error', 5],
		},
	},
	{
		files: ['**/__tests__/**', '*.config.ts', '*.setup.ts', 'scripts/**', 'playground/**'],
		rules: {
			// Development tools are declared once, in the workspace's own package.json.
			'import-x/no-extraneous-dependencies': 'off',
			'n/no-extraneous-import': 'off',
		},
	},
];

export default config;
