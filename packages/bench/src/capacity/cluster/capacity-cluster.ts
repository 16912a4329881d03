/**
The processes of one measurement, one role each where roles can be kept apart.
*/
import type {createDeploymentBuilder} from '@siskinhub/standins/cluster/create-deployment-builder.js';

type Builder = ReturnType<typeof createDeploymentBuilder>;

/** Stand-ins and daemons under one temporary folder. */
export type CapacityCluster = {
	readonly builder: Builder;
	readonly platform: Awaited<ReturnType<Builder['addPlatform']>>;
	/** Starts processes and replaces the list of hosts by the given lines. */
	readonly start: (hosts: readonly unknown[]) => Promise<void>;
	readonly close: () => Promise<void>;
};
