/**
A row's budget before the first block is taken.
*/
import type {Revision} from '../ids/revision.js';
import type {BudgetAccount} from './budget-account.js';

/** Nothing taken, no limit named. */
export const emptyBudgetAccount: BudgetAccount = {limitRevision: 0 as Revision, limit: 0, shards: {}};
