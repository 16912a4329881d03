/**
The hosts of the system as the platform lists them.
*/
import type {PlatformHost} from '@siskinhub/platform/platform-host.js';

/** A lagging view of the hosts; it decides nothing that must be exact. */
export type HostDirectory = {
	readonly entries: () => readonly PlatformHost[];
	readonly sidecars: () => readonly PlatformHost[];
	/** Sidecars of upstreams that serve the model or plain service of this name. */
	readonly sidecarsFor: (target: string) => readonly PlatformHost[];
	/** The sidecar with this id. */
	readonly findSidecar: (id: string) => PlatformHost | undefined;
	readonly refresh: () => Promise<void>;
	readonly stop: () => void;
};
