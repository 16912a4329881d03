/**
Reasons for which a history store refuses or fails an operation.
*/
import type {Digest} from '@siskinhub/core/ids/digest.js';
import type {Epoch} from '@siskinhub/core/ids/epoch.js';

/** Nothing was changed, except that after `io` the change may or may not survive a restart. */
export type HistoryError =
	// The shard has seen a higher epoch.
	| {readonly kind: 'fenced'; readonly epoch: Epoch}
	// The turn does not follow the copy's last turn; `expected` is the digest of the copy and `turns` its number of turns.
	| {readonly kind: 'mismatch'; readonly expected: Digest; readonly turns: number}
	| {readonly kind: 'unknown-program'}
	| {readonly kind: 'ended'}
	// The header or the turns are inconsistent.
	| {readonly kind: 'invalid'; readonly message: string}
	// An entry before the end of the log is damaged, so the copies of this holder cannot be trusted.
	| {readonly kind: 'corrupt'; readonly file: string; readonly offset: number}
	| {readonly kind: 'io'; readonly message: string};
