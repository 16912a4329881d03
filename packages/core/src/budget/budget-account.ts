/**
What the platform's service holds of one row's budget.
*/
import type {Epoch} from '../ids/epoch.js';
import type {Revision} from '../ids/revision.js';

type ShardTotals = {
	/** Epoch of the owner that changed the totals last. */
	readonly epoch: Epoch;
	/** Tokens that all owners of the shard have taken. */
	readonly taken: number;
	/** Tokens that they gave back unspent. */
	readonly returned: number;
	/** Id of the last change; decides whether one whose answer was lost took effect. */
	readonly lastChangeId: string;
};

/** What a shard has taken and not returned counts as spent. */
export type BudgetAccount = {
	/** Newest revision of the cell that an owner named, and its value. */
	readonly limitRevision: Revision;
	readonly limit: number;
	/** By shard number. */
	readonly shards: Readonly<Record<string, ShardTotals>>;
};
