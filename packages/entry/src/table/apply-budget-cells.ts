/**
Applies the table's budget cells to the token blocks of a shard's owner.
*/
import type {RowKey} from '@siskinhub/core/table/row-key.js';
import type {TableState} from '@siskinhub/core/table/table-state.js';
import type {createShardBudgets} from '@siskinhub/platform/budget/create-shard-budgets.js';

/** If a cell was lowered, the unreserved rest of a block returns to the row's account and must be taken again under the new limit. */
export const applyBudgetCells = (budgets: ReturnType<typeof createShardBudgets>, {rows, revision}: TableState): void => {
	for (const [row, cells] of Object.entries(rows)) {
		if (cells.budget) {
			budgets.updateLimit({row: row as RowKey, limit: cells.budget.value, limitRevision: revision});
		}
	}
};
