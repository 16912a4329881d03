/**
The initial budget account of a row.
*/
import type {Revision} from '../ids/revision.js';
import type {BudgetAccount} from './budget-account.js';

/** No block taken yet and no limit known. */
export const EMPTY_BUDGET_ACCOUNT: BudgetAccount = {limitRevision: 0 as Revision, limit: 0, shards: {}};
