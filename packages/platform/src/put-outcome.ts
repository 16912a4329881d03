/**
The answer to a compare-and-swap.
*/
import type {KeyValue} from './key-value.js';

/** `stored` with the new version, or `conflict` with what the key holds instead (absent: no such key). */
export type PutOutcome =
	| {readonly kind: 'stored'; readonly version: number}
	| {readonly kind: 'conflict'; readonly current?: KeyValue};
