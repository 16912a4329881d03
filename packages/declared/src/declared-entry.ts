/**
One key of the declared state, as some revision of the platform's service left it.
*/

/** `revision` orders all changes of all keys; a deleted key has no value. */
export type DeclaredEntry = {
	readonly key: string;
	readonly revision: number;
	/** UTF-8 text; `undefined` once the key is deleted. */
	readonly value?: string;
};
