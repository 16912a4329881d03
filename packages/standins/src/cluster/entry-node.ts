/**
An entry of a deployment.
*/
import type {ManagedProcess} from './managed-process.js';

/** Runs on this machine. */
export type EntryNode = {
	readonly name: string;
	readonly dataCentre: string;
	/** Where callers and operators reach the entry. */
	readonly address: string;
	readonly process: ManagedProcess;
};
