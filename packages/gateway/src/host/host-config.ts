/**
The settings of one process, independent of the format in which the platform
delivers them.
*/
import type {DataCentreId} from '@siskinhub/core/ids/data-centre-id.js';
import type {HostId} from '@siskinhub/core/ids/host-id.js';
import type {QuotaBounds} from '../quotas/quota-bounds.js';

type ListenAddress = {readonly ip: string; readonly port: number};

type RevocationBounds = {
	/** Whether a process that cannot learn of revoked keys any more must serve nobody by them. */
	readonly isStrict: boolean;
	/** Milliseconds within which a revoked key must be refused where that is so. */
	readonly withinMs: number;
};

/** Read once at the start of the process. */
export type HostConfig = {
	readonly host: HostId;
	readonly dataCentre: DataCentreId;
	readonly ip: string;
	/** Where callers connect; absent on hosts that serve none. */
	readonly callers?: ListenAddress;
	/** Where the balancer checks whether this process is ready for callers. */
	readonly readiness?: ListenAddress;
	/** Where other processes of the system reach this one. */
	readonly peers: ListenAddress;
	readonly metrics: ListenAddress;
	/** `http://IP:PORT` of some processes of the system, asked for the declared state; they may no longer exist. */
	readonly seeds: readonly string[];
	/** Folder for copies; absent on hosts without a disk. */
	readonly dataFolder?: string;
	/** How many disks may fail at once without loss of data. */
	readonly losses: number;
	/** Milliseconds from the request to stop until the process is killed. */
	readonly stopWithinMs: number;
	/** Milliseconds after an outage of the platform's service until upstreams whose entries lapsed in it are listed again. */
	readonly relistMs: number;
	/** Milliseconds between two renewals of an upstream's entry in the platform's service. */
	readonly renewalMs: number;
	/** Milliseconds within which an accepted change of the declared state must be in force. */
	readonly applyWithinMs: number;
	readonly quota: QuotaBounds;
	readonly revocation: RevocationBounds;
	/** What the process may use; absent if the settings do not say. */
	readonly memoryBytes?: number | undefined;
	readonly maxDescriptors?: number | undefined;
};
