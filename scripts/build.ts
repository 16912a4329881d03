/**
Bundles each binary into one file in its package's `dist/`, so that a host needs
only Node.
*/
import {existsSync} from 'node:fs';
import process from 'node:process';
import {build} from 'esbuild';

type EntryPoint = readonly [source: string, bundle: string];

const ENTRY_POINTS: readonly EntryPoint[] = [
	['packages/entry/src/siskinhub-entry.ts', 'packages/entry/dist/siskinhub-entry.js'],
	['packages/sidecar/src/siskinhub-sidecar.ts', 'packages/sidecar/dist/siskinhub-sidecar.js'],
	['packages/cli/src/siskinhub.ts', 'packages/cli/dist/siskinhub.js'],
	['packages/standins/src/platform-server.ts', 'packages/standins/dist/platform-server.js'],
	['packages/standins/src/engine-server.ts', 'packages/standins/dist/engine-server.js'],
	['packages/standins/src/service-server.ts', 'packages/standins/dist/service-server.js'],
	['packages/bench/src/bench.ts', 'packages/bench/dist/bench.js'],
	['packages/bench/src/capacity.ts', 'packages/bench/dist/capacity.js'],
	['packages/prove/src/prove.ts', 'packages/prove/dist/prove.js'],
	['playground/play.ts', 'playground/dist/play.js'],
];

// CommonJS dependencies inside an ES module bundle still call `require`.
const REQUIRE_BANNER = 'import {createRequire as __createRequire} from "node:module"; const require = __createRequire(import.meta.url);';

const existing = ENTRY_POINTS.filter(([source]) => existsSync(source));

await Promise.all(existing.map(async ([source, outfile]) => build({
	entryPoints: [source],
	outfile,
	bundle: true,
	platform: 'node',
	target: 'node20',
	format: 'esm',
	sourcemap: true,
	banner: {js: REQUIRE_BANNER},
	logLevel: 'warning',
})));

process.stdout.write(`built ${existing.length} bundles\n`);
