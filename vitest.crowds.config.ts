import {defineConfig} from 'vitest/config';

/** Tests whose crowds of callers load the machine: one at a time, and apart from all others. */
export default defineConfig({
	test: {
		include: ['platform/src/**/__tests__/**/*.crowd.ts'],
		maxWorkers: 1,
		fileParallelism: false,
		setupFiles: ['vitest.setup.ts'],
	},
});
