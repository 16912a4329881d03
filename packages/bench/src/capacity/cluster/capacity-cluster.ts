/**
The processes that one measurement runs.
*/
import type {createDeploymentBuilder} from '@siskinhub/standins/cluster/create-deployment-builder.js';
import type {ManagedProcess} from '@siskinhub/standins/cluster/managed-process.js';

type Builder = ReturnType<typeof createDeploymentBuilder>;

/** Stand-ins and daemons that share one temporary folder. */
export type CapacityCluster = {
	readonly builder: Builder;
	readonly platform: Awaited<ReturnType<Builder['addPlatform']>>;
	/** Replaces the platform's host list with `hosts`, then starts the processes: those in `first` before all others, which start at the same time. */
	readonly start: (hosts: readonly unknown[], first?: readonly ManagedProcess[]) => Promise<void>;
	/** Ends the processes and removes the folder. */
	readonly close: () => Promise<void>;
};
