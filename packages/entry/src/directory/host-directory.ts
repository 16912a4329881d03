/**
The hosts of the system as the platform lists them.
*/
import type {PlatformHost} from '@siskinhub/platform/platform-host.js';

/** The view lags behind the platform's list, so nothing that must be exact may depend on it. */
export type HostDirectory = {
	readonly entries: () => readonly PlatformHost[];
	readonly sidecars: () => readonly PlatformHost[];
	/** Sidecars of upstreams that serve the model or plain service of this name. */
	readonly sidecarsFor: (target: string) => readonly PlatformHost[];
	/** Returns the sidecar with this host id. */
	readonly findSidecar: (id: string) => PlatformHost | undefined;
	/** Reads the list now; keeps the last one if the platform does not answer. */
	readonly refresh: () => Promise<void>;
	readonly stop: () => void;
};
