/**
One key in the key store of the platform stand-in.
*/

/** A key with its value; without a value it is the tombstone of a deleted key, which keeps its version. */
export type StoredKey = {
	readonly key: string;
	readonly value?: string;
	/** Number of writes to the key; a deletion does not reset it. */
	readonly version: number;
	/** The store's revision at the last change of the key. */
	readonly modRevision: number;
	/** The lease that the key was written under; the key is deleted when it ends. */
	readonly lease?: string;
};
