/**
Sums a row's account.
*/
import type {BudgetAccount} from './budget-account.js';

/** Returns the tokens that are spent or in the hands of owners. */
export const sumOutstanding = ({shards}: BudgetAccount): number => {
	let sum = 0;
	for (const {taken, returned} of Object.values(shards)) {
		sum += taken - returned;
	}

	return sum;
};
