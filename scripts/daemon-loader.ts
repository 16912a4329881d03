/**
What each file `target/siskinhub-*.cjs` does: it runs the bundle beside it. The
build fills in the names.
*/
import {createRequire} from 'node:module';
import path from 'node:path';
import process from 'node:process';
import {runBundle} from '../packages/gateway/src/host/run-bundle.js';

declare const BUNDLE: string;
declare const BYTECODE: string;
declare const __dirname: string;

runBundle({
	file: path.join(__dirname, BUNDLE),
	bytecodeFile: path.join(__dirname, BYTECODE),
	load: createRequire(path.join(__dirname, BUNDLE)),
	shouldKeep: process.env.SISKINHUB_KEEP_BYTECODE === '1',
});
