/**
The running processes of one proof, and the relays between them.
*/
import type {PlatformHost} from '@siskinhub/platform/platform-host.js';
import type {ManagedProcess} from '@siskinhub/standins/cluster/managed-process.js';
import type {UpstreamNode} from '@siskinhub/standins/cluster/upstream-node.js';
import type {TcpRelay} from './tcp-relay.js';

/** An entry; `address` is the one that clients use, which is that of its relay. */
type EntryNode = {readonly name: string; readonly address: string; readonly process: ManagedProcess};

/** All processes listen on the loopback interface and keep their files in one temporary folder. */
export type Cluster = {
	readonly folder: string;
	readonly platform: {readonly address: string; readonly process: ManagedProcess};
	readonly entries: readonly EntryNode[];
	readonly upstreams: readonly UpstreamNode[];
	readonly processes: ReadonlyMap<string, ManagedProcess>;
	readonly relays: ReadonlyMap<string, TcpRelay>;
	readonly hosts: readonly PlatformHost[];
	/** Replaces the platform's list of hosts; the platform publishes it after `lagMs`. */
	readonly publishHosts: (hosts: readonly PlatformHost[], lagMs: number) => Promise<void>;
	/** Ends every process, and removes the folder unless it should be kept. */
	readonly close: (shouldKeepFolder: boolean) => Promise<void>;
};
