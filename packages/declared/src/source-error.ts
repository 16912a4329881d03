/**
The reason why a source of the declared state could not be read.
*/

/** `unavailable`: no valid answer. `compacted`: the source no longer has the changes after the requested revision. */
export type SourceError = {
	readonly kind: 'unavailable' | 'compacted';
	readonly message: string;
};
