/**
Bundles the daemons of the platform's machines into `target/`, then runs them
briefly on loopback to write the bytecode with which they start faster.
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
const OUTPUT_FOLDER = 'target';
const UNDICI_PARTS = fileURLToPath(new URL('undici-parts.ts', import.meta.url));
const HASH_CHARACTERS = 16;
const WARM_UP_CALLS = 300;
const WARM_UP_CALLS_AT_ONCE = 10;
/** Each build draws a block of ports, since several may run at the same time on one machine. */
const FIRST_PORT = 23_000;
const PORTS_PER_BUILD = 100;
const PORT_BLOCKS = 90;

const useUndiciParts: Plugin = {
	name: 'undici-parts',
	setup({onResolve}) {
		// Esbuild evaluates the pattern with Go's engine, which does not support JavaScript's flags.
		onResolve({filter: /^undici$/}, () => ({path: UNDICI_PARTS}));
	},
};

const sharedOptions = {
	bundle: true,
	platform: 'node',
	target: 'node20',
	format: 'cjs',
	minifySyntax: true,
	logLevel: 'warning',
} as const;

/** Includes a hash of everything that the bytecode depends on, so that no build runs with the bytecode of another. */
const createBytecodeName = (name: string): string => {
	const hash = createHash('sha256').update(readFileSync(path.join(OUTPUT_FOLDER, `${name}.bundle.cjs`))).update([process.version, ...readNodeFlags(name)].join(' '));
	return `${name}.${hash.digest('hex').slice(0, HASH_CHARACTERS)}.bytecode`;
};

/** Returns the file name that the daemon's bytecode gets. */
const bundle = async (name: string): Promise<string> => {
	const bundleFile = `${name}.bundle.cjs`;
	await build({
		...sharedOptions, entryPoints: [`platform/src/${name}.ts`], outfile: path.join(OUTPUT_FOLDER, bundleFile), plugins: [useUndiciParts],
	});
	const bytecode = createBytecodeName(name);
	await build({
		...sharedOptions,
		entryPoints: ['scripts/daemon-loader.ts'],
		outfile: path.join(OUTPUT_FOLDER, `${name}.cjs`),
		define: {BUNDLE: JSON.stringify(bundleFile), BYTECODE: JSON.stringify(bytecode)},
	});
	return bytecode;
};

const writeBytecode = async (): Promise<void> => {
	const system = await startLocalSystem({
		firstPort: FIRST_PORT + (PORTS_PER_BUILD * Math.floor(Math.random() * PORT_BLOCKS)),
		getNodeFlags: name => readNodeFlags(name.startsWith('holder') ? 'siskinhub-holder' : 'siskinhub-gateway'),
		env: {SISKINHUB_KEEP_BYTECODE: '1'},
	});
	for (let sent = 0; sent < WARM_UP_CALLS; sent += WARM_UP_CALLS_AT_ONCE) {
		await Promise.all(Array.from({length: WARM_UP_CALLS_AT_ONCE}, async (_, index) => system.call(sent + index)));
	}

	await system.stop();
};

const bytecodeFiles = await Promise.all(BINARIES.map(async name => bundle(name)));
const files = await readdir(OUTPUT_FOLDER);
await Promise.all(files.filter(file => file.endsWith('.bytecode') && !bytecodeFiles.includes(file)).map(async file => unlink(path.join(OUTPUT_FOLDER, file))));
if (bytecodeFiles.some(file => !files.includes(file))) {
	try {
		await writeBytecode();
	} catch (error) {
		// Without bytecode the daemons only start more slowly.
		process.stderr.write(`No bytecode was written: ${String(error)}\n`);
	}
}
