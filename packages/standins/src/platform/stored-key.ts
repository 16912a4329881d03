/**
One key as the stand-in keeps it.
*/

/** A key's value; an absent value marks a deleted key, whose version is kept. */
export type StoredKey = {
	readonly key: string;
	readonly value?: string;
	/** Rises with every put of the key, also across deletion. */
	readonly version: number;
	/** The store's revision at the last change of the key. */
	readonly modRevision: number;
	readonly lease?: string;
};
