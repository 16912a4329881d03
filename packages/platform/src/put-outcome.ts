/**
Defines the outcome of a compare-and-swap that the platform's service answered.
*/
import type {KeyValue} from './key-value.js';

/** `stored` with the new version, or `conflict` with the key's current record (absent if the key is). */
export type PutOutcome =
	| {readonly kind: 'stored'; readonly version: number}
	| {readonly kind: 'conflict'; readonly current?: KeyValue};
