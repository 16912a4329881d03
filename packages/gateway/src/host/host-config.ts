/**
What a process is told about itself at its start, in the product's words.
*/
import type {DataCentreId} from '@siskinhub/core/ids/data-centre-id.js';
import type {HostId} from '@siskinhub/core/ids/host-id.js';

type ListenAddress = {readonly ip: string; readonly port: number};

/** Resolved once from the platform's settings; durations in milliseconds. */
export type HostConfig = {
	readonly host: HostId;
	readonly dataCentre: DataCentreId;
	readonly ip: string;
	/** For callers; only on hosts that serve them. */
	readonly callers?: ListenAddress;
	/** Where the platform asks whether this process takes callers. */
	readonly readiness?: ListenAddress;
	/** Where other processes of the system reach this one. */
	readonly peers: ListenAddress;
	readonly metrics: ListenAddress;
	/** `http://IP:PORT` of a few processes that may know the others; they may be gone. */
	readonly seeds: readonly string[];
	/** Folder of this host's disk, where it has one. */
	readonly dataFolder?: string;
	/** Disks that may be lost at once while everything is kept. */
	readonly losses: number;
	/** From the request to stop until the process is killed. */
	readonly stopWithinMs: number;
	/** Until upstreams whose entries lapsed in an outage of the platform's service are listed again. */
	readonly relistMs: number;
};
