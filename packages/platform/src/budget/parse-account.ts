/**
Parses and validates a row's budget account from the value of its key.
*/
import * as z from 'zod';
import type {BudgetAccount} from '@siskinhub/core/budget/budget-account.js';

const accountSchema = z.object({
	limitRevision: z.number(),
	limit: z.number(),
	shards: z.record(z.string(), z.object({
		epoch: z.number(),
		taken: z.number(),
		returned: z.number(),
		lastChangeId: z.string(),
	})),
});

/** Returns the account, or `undefined` if the value is not a valid one. */
export const parseAccount = (value: string): BudgetAccount | undefined => {
	try {
		return accountSchema.parse(JSON.parse(value)) as BudgetAccount;
	} catch {
		return undefined;
	}
};
