/**
The processes of one measurement, one role each where roles can be kept apart.
*/
import type {createDeploymentBuilder} from '@siskinhub/standins/cluster/create-deployment-builder.js';
import type {ManagedProcess} from '@siskinhub/standins/cluster/managed-process.js';

type Builder = ReturnType<typeof createDeploymentBuilder>;

/** Stand-ins and daemons under one temporary folder. */
export type CapacityCluster = {
	readonly builder: Builder;
	readonly platform: Awaited<ReturnType<Builder['addPlatform']>>;
	/** Replaces the list of hosts by the given lines, then starts processes: those of `first`, then all others together. */
	readonly start: (hosts: readonly unknown[], first?: readonly ManagedProcess[]) => Promise<void>;
	readonly close: () => Promise<void>;
};
