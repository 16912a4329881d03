/**
An owner's ledger for the budget of one row: the blocks of tokens that it has
taken from the row's account, and the reservations of calls' worst-case costs
against them. It exists in memory only; if it is lost with its owner, the blocks
count as spent.
*/
import {err, ok, type Result} from 'neverthrow';

type BudgetLedger = {
	/** Adds a block of `amount` tokens that was taken from the row's account. */
	readonly addBlock: (amount: number) => void;
	/** Reserves a call's worst-case cost, or returns how many tokens are missing. Repeating an id changes nothing. */
	readonly reserve: (id: string, amount: number) => Result<void, {readonly kind: 'needs-block'; readonly missing: number}>;
	/** Ends a reservation and charges the call's cost, in full even if it exceeds the reservation. */
	readonly settle: (id: string, cost: number) => void;
	/** Ends the reservation of a call that did not run, without a charge. */
	readonly release: (id: string) => void;
	/** Removes all unreserved tokens and returns their number, so that the caller can return them to the account. */
	readonly takeUnreserved: () => number;
	readonly totals: () => {readonly available: number; readonly reserved: number; readonly settled: number};
};

/** Creates an empty ledger. */
export const createBudgetLedger = (): BudgetLedger => {
	const reservations = new Map<string, number>();
	// Negative after a call has cost more than its reservation; then nothing can be reserved until new blocks cover the difference.
	let available = 0;
	let reserved = 0;
	let settled = 0;

	const endReservation = (id: string, cost: number) => {
		const amount = reservations.get(id);
		if (amount === undefined) {
			return;
		}

		reservations.delete(id);
		reserved -= amount;
		settled += cost;
		available += amount - cost;
	};

	return {
		addBlock(amount) {
			available += amount;
		},
		reserve(id, amount) {
			if (reservations.has(id)) {
				return ok();
			}

			if (available < amount) {
				return err({kind: 'needs-block', missing: amount - available});
			}

			reservations.set(id, amount);
			available -= amount;
			reserved += amount;
			return ok();
		},
		settle: endReservation,
		release(id) {
			endReservation(id, 0);
		},
		takeUnreserved() {
			const rest = Math.max(0, available);
			available -= rest;
			return rest;
		},
		totals: () => ({available, reserved, settled}),
	};
};
