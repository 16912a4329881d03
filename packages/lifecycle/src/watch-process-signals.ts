/**
Takes over the control signals of this process.
*/
import process from 'node:process';
import {createSignalWatch} from './create-signal-watch.js';
import type {SignalWatch} from './signal-watch.js';

/** A bundle and its loader each contain this module, but must share the signals that have come. */
const SHARED = Symbol.for('siskinhub.process-signals');

const shared = globalThis as {[SHARED]?: SignalWatch};

/** Every call returns the same watch. */
export const watchProcessSignals = (): SignalWatch => {
	shared[SHARED] ??= createSignalWatch(process);
	return shared[SHARED];
};
