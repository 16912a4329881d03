/**
The processes of one deployment on the loopback interface.
*/
import type {EntryNode} from './entry-node.js';
import type {ManagedProcess} from './managed-process.js';
import type {StopReport} from './stop-report.js';
import type {UpstreamNode} from './upstream-node.js';

/** Everything runs under one temporary folder. */
export type Deployment = {
	readonly folder: string;
	readonly platform: {readonly address: string; readonly process: ManagedProcess};
	readonly entries: readonly EntryNode[];
	readonly upstreams: readonly UpstreamNode[];
	readonly processes: ReadonlyMap<string, ManagedProcess>;
	/** Text that a process wrote so far. */
	readonly readLog: (name: string) => string;
	/** Stops entries, then sidecars, then stand-ins, each gracefully. The logs stay. */
	readonly stop: () => Promise<StopReport>;
	/** Ends whatever still runs and removes the folder. */
	readonly close: () => Promise<void>;
};
