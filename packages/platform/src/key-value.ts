/**
Defines a record of the platform's key-value store.
*/

/** A key, its value and the version that a compare-and-swap compares. */
export type KeyValue = {
	readonly key: string;
	/** UTF-8 text, at most 1 MB. */
	readonly value: string;
	/** Increases with every write of the key, also across a deletion; 0 stands for an absent key. */

	readonly version: number;
};
