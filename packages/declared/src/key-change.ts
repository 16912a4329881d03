/**
A change of one key of the platform's service.
*/

export type KeyChange = {
	readonly key: string;
	/** The key is deleted if it is absent. */
	readonly value?: string;
	/** The change is made only if the key has this revision; 0: the key must be absent; absent: any revision. */
	readonly expectedRevision?: number;
};
