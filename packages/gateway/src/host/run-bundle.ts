/**
Runs a daemon's bundle with the bytecode that its build kept.

Pattern of load: many processes start again at once, on a fraction of a core
each, with callers waiting. Parsing and compiling a megabyte of JavaScript then
takes longer than reading back everything that the process is to know.
*/
import {readFileSync, renameSync, writeFileSync} from 'node:fs';
import type {createRequire} from 'node:module';
import path from 'node:path';
import process from 'node:process';
import {Script} from 'node:vm';

type BundleOptions = {
	/** A CommonJS bundle. */
	readonly file: string;
	/** Named after the bundle's content, since the engine itself compares no more than its length. */
	readonly bytecodeFile: string;
	/** What the bundle loads built-in modules with. */
	readonly load: ReturnType<typeof createRequire>;
	/** Leaves at exit the bytecode of whatever ran until then. */
	readonly shouldKeep: boolean;
};

type BundleFunction = (names: unknown, load: BundleOptions['load'], self: {readonly exports: unknown}, file: string, folder: string) => void;

/** A process without bytecode, or with that of another version of Node, only starts more slowly. */
const readBytecode = (file: string): Uint8Array | undefined => {
	try {
		return readFileSync(file);
	} catch {
		return undefined;
	}
};

/** Returns after the bundle's top level has run. */
export const runBundle = ({file, bytecodeFile, load, shouldKeep}: BundleOptions): void => {
	const source = `(function (exports, require, module, __filename, __dirname) {${readFileSync(file, 'utf8')}\n})`;
	const script = new Script(source, {filename: file, cachedData: readBytecode(bytecodeFile) as NodeJS.ArrayBufferView | undefined});
	if (script.cachedDataRejected ?? !shouldKeep) {
		process.stderr.write(`${bytecodeFile} is missing or of another version of Node or other flags; the process starts without it, only more slowly. Run the build again to keep it.\n`);
	}

	const self = {exports: {}};
	(script.runInThisContext() as BundleFunction)(self.exports, load, self, file, path.dirname(file));
	if (shouldKeep) {
		process.on('exit', () => {
			// Another build may be reading it, and the engine does not notice bytes that were changed.
			const unfinished = `${bytecodeFile}.${process.pid}`;
			writeFileSync(unfinished, script.createCachedData());
			renameSync(unfinished, bytecodeFile);
		});
	}
};
