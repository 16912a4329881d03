/**
A running entry: its addresses, and the function that stops it.
*/

export type Entry = {
	/** The address for callers and operators, as `http://IP:PORT`. */
	readonly httpAddress: string;
	/** The address for peers, as `http://IP:PORT`. */
	readonly peerAddress: string;
	/** Hands over the shards and waits for open requests; resolves with false if `gracefulStopMs` passed before they ended. */
	readonly stop: () => Promise<boolean>;
};
