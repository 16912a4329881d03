import {defineConfig} from 'vitest/config';

export default defineConfig({
	test: {
		include: ['packages/*/src/**/__tests__/**/*.test.ts', 'platform/src/**/__tests__/**/*.test.ts', 'playground/**/__tests__/**/*.test.ts', 'scripts/__tests__/**/*.test.ts'],
		testTimeout: 30_000,
		hookTimeout: 30_000,
		maxWorkers: 4,
		setupFiles: ['vitest.setup.ts'],
	},
});
