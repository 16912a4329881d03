/**
A running deployment on the loopback interface.
*/
import type {EntryNode} from './entry-node.js';
import type {ManagedProcess} from './managed-process.js';
import type {StopReport} from './stop-report.js';
import type {UpstreamNode} from './upstream-node.js';

/** The processes of a deployment, with their settings, data and logs under one temporary folder. */
export type Deployment = {
	readonly folder: string;
	readonly platform: {readonly address: string; readonly process: ManagedProcess};
	readonly entries: readonly EntryNode[];
	readonly upstreams: readonly UpstreamNode[];
	/** All processes by name. */
	readonly processes: ReadonlyMap<string, ManagedProcess>;
	/** Returns what the process has written to its log so far. */
	readonly readLog: (name: string) => string;
	/** Gracefully stops the entries, then the sidecars, then the stand-ins. The logs stay. */
	readonly stop: () => Promise<StopReport>;
	/** Kills the processes that still run and removes the folder. */
	readonly close: () => Promise<void>;
};
