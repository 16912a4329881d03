/**
One key of the declared state at the revision of its last change.
*/

export type DeclaredEntry = {
	readonly key: string;
	/** Assigned by the platform's service; orders all changes of all keys. */
	readonly revision: number;
	/** UTF-8 text; `undefined` if the key was deleted. */
	readonly value?: string;
};
