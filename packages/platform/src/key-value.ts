/**
One key as the platform's service holds it.
*/

/** A key, its value and the version that a compare-and-swap names. */
export type KeyValue = {
	readonly key: string;
	/** UTF-8 text, at most 1 MB. */
	readonly value: string;
	/** Rises with every write of the key; 0 stands for an absent key. */
	readonly version: number;
};
