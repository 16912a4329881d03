/**
Reads a program's limits from the operators' table.
*/
import {err, ok, type Result} from 'neverthrow';
import type {ProgramHeader} from '@siskinhub/core/history/program-header.js';
import type {Refusal} from '@siskinhub/core/refusal/refusal.js';
import type {CellName} from '@siskinhub/core/table/cell-name.js';
import {listRowKeys} from '@siskinhub/core/table/list-row-keys.js';
import {resolveLimits} from '@siskinhub/core/table/resolve-limits.js';
import type {RowKey} from '@siskinhub/core/table/row-key.js';
import type {TableState} from '@siskinhub/core/table/table-state.js';
import type {RowLimits} from '../owner/row-limits.js';

type ProgramRows = Pick<ProgramHeader, 'workspace' | 'kind' | 'deployment'>;

/** Creates the function that resolves a program's limits; each call reads the newest table that this process has. */
export const createRowLimits = (table: () => TableState) => (rows: ProgramRows): Result<RowLimits, Refusal> => {
	const resolved = resolveLimits(table(), rows);
	if (resolved.isErr()) {
		return err({
			code: 'unknown-row',
			message: `The table has no row ${resolved.error.rows.join(', ')}; ask the operator to add it, or correct the name.`,
		});
	}

	const state = table();
	const keys = listRowKeys(rows);
	const listCells = (cell: CellName) => keys.flatMap(row => {
		const limit = state.rows[row]?.[cell]?.value;
		return limit === undefined ? [] : [{row, limit}];
	});

	return ok({
		row: `workspace/${rows.workspace}` as RowKey,
		limits: resolved.value,
		budgets: listCells('budget'),
		concurrency: listCells('concurrency'),
		revision: state.revision,
	});
};
