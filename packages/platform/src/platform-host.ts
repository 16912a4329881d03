/**
Defines an item of the platform's list of hosts, which may lag behind reality.
*/

/** A host slot as the platform lists it. */
export type PlatformHost = {
	readonly id: string;
	readonly role: 'entry' | 'sidecar';
	/** Address where the process listens for its peers, as `http://IP:PORT`. */
	readonly peerAddress: string;
	readonly dataCentre: string;
	/** Absent if the deployment has only one region. */
	readonly region?: string;
	readonly state: 'live' | 'leaving';
	/** Entries only: whether the host has a data folder and therefore stores copies of histories. */
	readonly holdsHistory?: boolean;
	/** Sidecars only: the upstream that the sidecar runs next to. */
	readonly upstream?: {
		readonly id: string;
		readonly kind: 'model' | 'service';
		/** Model name or service name that callers request. */
		readonly target: string;
	};
};
