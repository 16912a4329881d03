/**
One entry of a deployment.
*/
import type {ManagedProcess} from './managed-process.js';

/** The process of an entry and its public address. */
export type EntryNode = {
	readonly name: string;
	readonly dataCentre: string;
	/** `http://IP:PORT` for callers and operators. */
	readonly address: string;
	readonly process: ManagedProcess;
};
