/**
An owner's book of one row's budget: blocks that it has taken, and reservations
of the worst-case cost of calls against them. Kept in memory; when it is lost
with its owner, the blocks count as spent.
*/
import {err, ok, type Result} from 'neverthrow';

type BudgetLedger = {
	/** Adds a block taken from the row's account. */
	readonly addBlock: (amount: number) => void;
	/** Reserves a call's worst-case cost; refused if the blocks do not hold it. The same id again changes nothing. */
	readonly reserve: (id: string, amount: number) => Result<void, {readonly kind: 'needs-block'; readonly missing: number}>;
	/** Ends a reservation with the call's cost. A cost above the reservation is charged in full. */
	readonly settle: (id: string, cost: number) => void;
	/** Ends the reservation of a call that did not run. */
	readonly release: (id: string) => void;
	/** Removes the unreserved rest, to be returned to the account. */
	readonly takeRest: () => number;
	readonly totals: () => {readonly available: number; readonly reserved: number; readonly settled: number};
};

/** Creates an empty book. */
export const createBudgetLedger = (): BudgetLedger => {
	const reservations = new Map<string, number>();
	// Negative after a call cost more than its reservation; then nothing is reserved until a block has made up for it.
	let available = 0;
	let reserved = 0;
	let settled = 0;

	const end = (id: string, cost: number) => {
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
		settle: end,
		release(id) {
			end(id, 0);
		},
		takeRest() {
			const rest = Math.max(0, available);
			available -= rest;
			return rest;
		},
		totals: () => ({available, reserved, settled}),
	};
};
