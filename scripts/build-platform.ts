/**
Bundles the daemons of the platform's machines under `target/`, and lets them
run for a moment on loopback, so that their bytecode is at hand at each start.
*/
import {createHash} from 'node:crypto';
import {readFileSync} from 'node:fs';
import {readdir, unlink} from 'node:fs/promises';
import path from 'node:path';
import process from 'node:process';
import {fileURLToPath} from 'node:url';
import {build, type Plugin} from 'esbuild';
import {startLocalSystem} from '../platform/src/__tests__/fakes/start-local-system.js';
import {readNodeFlags} from './read-node-flags.js';

const BINARIES = ['siskinhub-gateway', 'siskinhub-holder'] as const;
const FOLDER = 'target';
const UNDICI_PARTS = fileURLToPath(new URL('undici-parts.ts', import.meta.url));
const HASH_CHARACTERS = 16;
const WARM_CALLS = 300;
const WARM_CALLS_AT_ONCE = 10;
const FIRST_PORTS = [23_000, 24_000, 25_000, 26_000];

const useUndiciParts: Plugin = {
	name: 'undici-parts',
	setup({onResolve}) {
		// Esbuild hands the pattern to another language's engine, which knows no flags.

		onResolve({filter: /^undici$/}, () => ({path: UNDICI_PARTS}));
	},
};

const shared = {
	bundle: true,
	platform: 'node',
	target: 'node20',
	format: 'cjs',
	minifySyntax: true,
	logLevel: 'warning',
} as const;

/** Names the bytecode by all that it depends on, so that one build never runs with another's. */
const nameBytecode = (name: string): string => {
	const hash = createHash('sha256').update(readFileSync(path.join(FOLDER, `${name}.bundle.cjs`))).update([process.version, ...readNodeFlags(name)].join(' '));
	return `${name}.${hash.digest('hex').slice(0, HASH_CHARACTERS)}.bytecode`;
};

/** Returns the name of its bytecode. */
const bundle = async (name: string): Promise<string> => {
	const bundleFile = `${name}.bundle.cjs`;
	await build({
		...shared, entryPoints: [`platform/src/${name}.ts`], outfile: path.join(FOLDER, bundleFile), plugins: [useUndiciParts],
	});
	const bytecode = nameBytecode(name);
	await build({
		...shared,
		entryPoints: ['scripts/daemon-loader.ts'],
		outfile: path.join(FOLDER, `${name}.cjs`),
		define: {BUNDLE: JSON.stringify(bundleFile), BYTECODE: JSON.stringify(bytecode)},
	});
	return bytecode;
};

const keepBytecode = async (): Promise<void> => {
	const system = await startLocalSystem({
		firstPort: FIRST_PORTS[Math.floor(Math.random() * FIRST_PORTS.length)]!,
		flagsOf: name => readNodeFlags(name.startsWith('holder') ? 'siskinhub-holder' : 'siskinhub-gateway'),
		env: {SISKINHUB_KEEP_BYTECODE: '1'},
	});
	for (let sent = 0; sent < WARM_CALLS; sent += WARM_CALLS_AT_ONCE) {
		await Promise.all(Array.from({length: WARM_CALLS_AT_ONCE}, async (_, index) => system.call(sent + index)));
	}

	await system.stop();
};

const wanted = await Promise.all(BINARIES.map(async name => bundle(name)));
const files = await readdir(FOLDER);
await Promise.all(files.filter(file => file.endsWith('.bytecode') && !wanted.includes(file)).map(async file => unlink(path.join(FOLDER, file))));
if (wanted.some(file => !files.includes(file))) {
	try {
		await keepBytecode();
	} catch (error) {
		// Daemons start without it too, only more slowly.
		process.stderr.write(`No bytecode was kept: ${String(error)}\n`);
	}
}
