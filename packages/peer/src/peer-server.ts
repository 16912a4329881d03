/**
Type of the server that accepts links from other processes.
*/

/** A listening server. */
export type PeerServer = {
	/** The address it listens on, as `http://IP:PORT`. */
	readonly address: string;
	/** Stops listening and closes every link. */
	readonly close: () => Promise<void>;
};
