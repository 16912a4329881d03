/**
Why the declared state could not be read.
*/

/** `unavailable`: no usable answer. `compacted`: the source no longer knows what followed that revision. */
export type SourceError = {
	readonly kind: 'unavailable' | 'compacted';
	readonly message: string;
};
