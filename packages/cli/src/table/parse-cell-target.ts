/**
Parses the arguments `ROW.CELL` and `VALUE` of `siskinhub table set`.
*/
import {err, ok, type Result} from 'neverthrow';
import type {CellName} from '@siskinhub/core/table/cell-name.js';
import {CELL_RULES} from '@siskinhub/core/table/cell-rules.js';
import {describeCellValues} from '@siskinhub/core/table/describe-cell-values.js';
import {isCellName} from '@siskinhub/core/table/is-cell-name.js';
import {isCellValue} from '@siskinhub/core/table/is-cell-value.js';
import {isRowKey} from '@siskinhub/core/table/is-row-key.js';
import type {RowKey} from '@siskinhub/core/table/row-key.js';
import type {TableChange} from './table-change.js';

type CellTarget = {readonly row: RowKey; readonly cell: CellName};

/** Stands in place of a value to clear the cell. */
const CLEAR_KEYWORD = 'none';
const NUMBER_PATTERN = /^\d+(?:\.\d+)?$/v;

const parseTarget = (text: string): Result<CellTarget, string> => {
	// Row names may contain dots, cell names do not.
	const dot = text.lastIndexOf('.');
	const row = text.slice(0, Math.max(dot, 0));
	const cell = text.slice(dot + 1);
	if (!isRowKey(row)) {
		return err(`"${text}" does not name a cell. Expected ROW.CELL, where ROW is deployment/NAME, kind/NAME or workspace/NAME, such as workspace/huenchullan.weight.`);
	}

	return isCellName(cell)
		? ok({row, cell})
		: err(`"${cell}" is not a cell of the table. The cells are ${Object.keys(CELL_RULES).join(', ')}.`);
};

/** The error is a sentence that says what was expected. */
export const parseCellTarget = (target: string, valueText: string): Result<TableChange, string> => parseTarget(target).andThen(({row, cell}): Result<TableChange, string> => {
	if (valueText === CLEAR_KEYWORD) {
		return ok({kind: 'clear', row, cell});
	}

	const value = NUMBER_PATTERN.test(valueText) ? Number(valueText) : Number.NaN;
	return isCellValue(cell, value)
		? ok({
			kind: 'set', row, cell, value,
		})
		: err(`"${valueText}" is not a valid value of ${cell}: expected ${describeCellValues(cell)}, or "${CLEAR_KEYWORD}" to clear the cell.`);
});
