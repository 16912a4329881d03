/**
The processes of one proof.
*/
import type {PlatformHost} from '@siskinhub/platform/platform-host.js';
import type {ManagedProcess} from '@siskinhub/standins/cluster/managed-process.js';
import type {UpstreamNode} from '@siskinhub/standins/cluster/upstream-node.js';
import type {TcpRelay} from './tcp-relay.js';

/** An entry and where clients reach it, through its relay. */
type EntryNode = {readonly name: string; readonly address: string; readonly process: ManagedProcess};

/** Everything runs on the loopback interface under one temporary folder. */
export type Cluster = {
	readonly folder: string;
	readonly platform: {readonly address: string; readonly process: ManagedProcess};
	readonly entries: readonly EntryNode[];
	readonly upstreams: readonly UpstreamNode[];
	readonly processes: ReadonlyMap<string, ManagedProcess>;
	readonly relays: ReadonlyMap<string, TcpRelay>;
	readonly hosts: readonly PlatformHost[];
	/** Publishes the platform's list of hosts after `lagMs`. */
	readonly publishHosts: (hosts: readonly PlatformHost[], lagMs: number) => Promise<void>;
	/** Ends every process and removes the folder, unless `keepFolder`. */
	readonly close: (shouldKeepFolder: boolean) => Promise<void>;
};
