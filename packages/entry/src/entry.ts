/**
A running entry.
*/

/** Lets the process that started it stop it. */
export type Entry = {
	/** Where callers and operators reach it, as `http://IP:PORT`. */
	readonly httpAddress: string;
	/** Where peers reach it, as `http://IP:PORT`. */
	readonly peerAddress: string;
	/** Hands its shards over, finishes what runs, and resolves; false if the bound passed first. */
	readonly stop: () => Promise<boolean>;
};
