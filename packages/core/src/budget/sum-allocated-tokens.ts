/**
Computes how much of a row's budget is in use.
*/
import type {BudgetAccount} from './budget-account.js';

/** Returns the tokens that owners have taken and not returned, whether spent or not. */
export const sumAllocatedTokens = ({shards}: BudgetAccount): number => {
	let sum = 0;
	for (const {taken, returned} of Object.values(shards)) {
		sum += taken - returned;
	}

	return sum;
};
