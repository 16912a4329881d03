/**
Runs a CommonJS bundle with the V8 bytecode that its build has cached.

Load pattern: many processes restart at once, on a fraction of a core each, while
callers wait. Parsing and compiling a megabyte of JavaScript then takes longer
than reading all the state that the process needs.
*/
import {readFileSync, renameSync, writeFileSync} from 'node:fs';
import type {createRequire} from 'node:module';
import path from 'node:path';
import process from 'node:process';
import {Script} from 'node:vm';

type BundleOptions = {
	/** Path of the bundle. */
	readonly file: string;
	/** The name must depend on the bundle's content: V8 itself compares only the length of the source. */
	readonly bytecodeFile: string;
	/** The `require` function that the bundle uses to load built-in modules. */
	readonly load: ReturnType<typeof createRequire>;
	/** Whether to write the bytecode at exit; it covers the functions that have run by then. */
	readonly shouldWriteBytecode: boolean;
};

type BundleFunction = (names: unknown, load: BundleOptions['load'], moduleObject: {readonly exports: unknown}, file: string, folder: string) => void;

/** Returns `undefined` if there is no file: without bytecode the process only starts more slowly. */
const readBytecode = (file: string): Uint8Array | undefined => {
	try {
		return readFileSync(file);
	} catch {
		return undefined;
	}
};

/** Returns after the bundle's top level has run. */
export const runBundle = ({file, bytecodeFile, load, shouldWriteBytecode}: BundleOptions): void => {
	const source = `(function (exports, require, module, __filename, __dirname) {${readFileSync(file, 'utf8')}\n})`;
	const script = new Script(source, {filename: file, cachedData: readBytecode(bytecodeFile) as NodeJS.ArrayBufferView | undefined});
	if (script.cachedDataRejected ?? !shouldWriteBytecode) {
		process.stderr.write(`${bytecodeFile} is missing or of another version of Node or other flags; the process starts without it, only more slowly. Run the build again.\n`);
	}

	const moduleObject = {exports: {}};
	(script.runInThisContext() as BundleFunction)(moduleObject.exports, load, moduleObject, file, path.dirname(file));
	if (shouldWriteBytecode) {
		process.on('exit', () => {
			// Written to a temporary file and renamed: another build may be reading the old one, and V8 does not detect changed bytes.
			const temporaryFile = `${bytecodeFile}.${process.pid}`;
			writeFileSync(temporaryFile, script.createCachedData());
			renameSync(temporaryFile, bytecodeFile);
		});
	}
};
