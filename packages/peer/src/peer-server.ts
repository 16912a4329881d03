/**
The listening side of the links between processes.
*/

/** A listening server for peers. */
export type PeerServer = {
	/** Where it listens, as `http://IP:PORT`. */
	readonly address: string;
	/** Stops listening and closes every link. */
	readonly close: () => Promise<void>;
};
