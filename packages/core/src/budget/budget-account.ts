/**
The budget account of one row, stored in the platform's service.
*/
import type {Epoch} from '../ids/epoch.js';
import type {Revision} from '../ids/revision.js';

type ShardTotals = {
	/** Epoch of the owner that last changed the totals. */
	readonly epoch: Epoch;
	/** Tokens that the successive owners of the shard have taken. */
	readonly taken: number;
	/** Unspent tokens that they have returned. */
	readonly returned: number;
	/** Id of the last change; tells whether a change whose answer was lost took effect. */
	readonly lastChangeId: string;
};

/** Tokens that a shard has taken and not returned count as spent. */
export type BudgetAccount = {
	/** Newest table revision that an owner has read the budget cell at. */
	readonly limitRevision: Revision;
	/** Value of the budget cell at that revision, in tokens. */
	readonly limit: number;
	/** Keyed by shard number. */
	readonly shards: Readonly<Record<string, ShardTotals>>;
};
