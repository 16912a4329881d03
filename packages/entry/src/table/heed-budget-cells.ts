/**
Passes changed budget cells on to the owners that hold blocks of them.
*/
import type {RowKey} from '@siskinhub/core/table/row-key.js';
import type {TableState} from '@siskinhub/core/table/table-state.js';
import type {createShardBudgets} from '@siskinhub/platform/budget/create-shard-budgets.js';

/** A lowered cell sends the unreserved rest of a block back to the row's account; it must be taken again under the new cell. */
export const heedBudgetCells = (budgets: ReturnType<typeof createShardBudgets>, {rows, revision}: TableState): void => {
	for (const [row, cells] of Object.entries(rows)) {
		if (cells.budget) {
			budgets.updateLimit({row: row as RowKey, limit: cells.budget.value, limitRevision: revision});
		}
	}
};
