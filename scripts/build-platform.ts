/**
Bundles the daemons of the platform's machines into one file each under `target/`.
*/
import {build} from 'esbuild';

const BINARIES = ['siskinhub-gateway', 'siskinhub-holder'] as const;

// CommonJS dependencies inside an ES module bundle still call `require`.
const REQUIRE_BANNER = 'import {createRequire as __createRequire} from "node:module"; const require = __createRequire(import.meta.url);';

await Promise.all(BINARIES.map(async name => build({
	entryPoints: [`platform/src/${name}.ts`],
	outfile: `target/${name}.mjs`,
	bundle: true,
	platform: 'node',
	target: 'node20',
	format: 'esm',
	minifySyntax: true,
	banner: {js: REQUIRE_BANNER},
	logLevel: 'warning',
})));
