/**
Source of each `target/siskinhub-*.cjs`: runs the bundle in the same folder. The
build replaces `BUNDLE` and `BYTECODE` with the file names.
*/
import {createRequire} from 'node:module';
import path from 'node:path';
import process from 'node:process';
import {watchProcessSignals} from '../packages/lifecycle/src/watch-process-signals.js';
import {runBundle} from '../packages/gateway/src/host/run-bundle.js';

declare const BUNDLE: string;
declare const BYTECODE: string;
declare const __dirname: string;

// Before the bundle is read and compiled, which takes far longer than this loader.
watchProcessSignals();
runBundle({
	file: path.join(__dirname, BUNDLE),
	bytecodeFile: path.join(__dirname, BYTECODE),
	load: createRequire(path.join(__dirname, BUNDLE)),
	shouldWriteBytecode: process.env.SISKINHUB_KEEP_BYTECODE === '1',
});
