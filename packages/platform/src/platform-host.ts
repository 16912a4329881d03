/**
One line of the platform's lagging list of hosts.
*/

/** A host slot as the platform lists it. */
export type PlatformHost = {
	readonly id: string;
	readonly role: 'entry' | 'sidecar';
	/** Where the process listens for its peers, as `http://IP:PORT`. */
	readonly peerAddress: string;
	readonly dataCentre: string;
	/** Absent where the deployment has one region. */
	readonly region?: string;
	readonly state: 'live' | 'leaving';
	/** Entries only: whether the host has a data folder and so holds copies of histories. */
	readonly holdsHistory?: boolean;
	/** Sidecars only: the upstream beside which the process runs. */
	readonly upstream?: {
		readonly id: string;
		readonly kind: 'model' | 'service';
		/** Model name or service name that callers ask for. */
		readonly target: string;
	};
};
