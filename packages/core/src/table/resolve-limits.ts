/**
Resolves the limits of one program from the table.
*/
import {err, ok, type Result} from 'neverthrow';
import type {ProgramLimits} from '../program/program-limits.js';
import type {CellName} from './cell-name.js';
import {listRowKeys} from './list-row-keys.js';
import type {ProgramRows} from './program-rows.js';
import type {RowKey} from './row-key.js';
import type {TableState} from './table-state.js';

type UnknownRow = {readonly kind: 'unknown-row'; readonly rows: readonly RowKey[]};

const DEFAULT_WEIGHT = 1;
const DEFAULT_PRIORITY = 0;
const MS_PER_SECOND = 1000;

/** Takes each limit from the row with the least value, and weight and priority from the most specific row that sets them. Fails if a row does not exist. */
export const resolveLimits = (state: TableState, program: ProgramRows): Result<ProgramLimits, UnknownRow> => {
	const keys = listRowKeys(program);
	const unknown = keys.filter(key => !Object.hasOwn(state.rows, key));
	if (unknown.length > 0) {
		return err({kind: 'unknown-row', rows: unknown});
	}

	const readCells = (cell: CellName) => keys.flatMap(key => state.rows[key]?.[cell]?.value ?? []);
	const resolveLimit = <Name extends keyof ProgramLimits>(name: Name, cell: CellName, scale = 1) => {
		const values = readCells(cell);
		return values.length > 0 ? {[name]: Math.min(...values) * scale} : {};
	};

	return ok({
		weight: readCells('weight')[0] ?? DEFAULT_WEIGHT,
		priority: readCells('priority')[0] ?? DEFAULT_PRIORITY,
		...resolveLimit('programBudget', 'program-budget'),
		...resolveLimit('turns', 'turns'),
		...resolveLimit('wallTimeMs', 'wall-time', MS_PER_SECOND),
		...resolveLimit('toolTimeMs', 'tool-time', MS_PER_SECOND),
		...resolveLimit('idleTimeMs', 'idle-time', MS_PER_SECOND),
		...resolveLimit('outputTokens', 'output-tokens'),
	});
};
