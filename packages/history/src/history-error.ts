/**
Why a history holder did not do what it was asked to.
*/
import type {Digest} from '@siskinhub/core/ids/digest.js';
import type {Epoch} from '@siskinhub/core/ids/epoch.js';

/** Nothing was changed; after `io` the change may or may not survive a restart. */
export type HistoryError =
	// The shard has seen a higher epoch.
	| {readonly kind: 'fenced'; readonly epoch: Epoch}
	// The turn does not follow the copy's last one; `expected` is the digest of the copy and `turns` its length.
	| {readonly kind: 'mismatch'; readonly expected: Digest; readonly turns: number}
	| {readonly kind: 'unknown-program'}
	| {readonly kind: 'ended'}
	// The header or the turns contradict themselves.
	| {readonly kind: 'invalid'; readonly message: string}
	// A record in the middle of a file is damaged; the copies of this holder cannot be trusted.
	| {readonly kind: 'corrupt'; readonly file: string; readonly offset: number}
	| {readonly kind: 'io'; readonly message: string};
