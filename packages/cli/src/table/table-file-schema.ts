/**
Schema of the table as a YAML file in version control.
*/
import * as z from 'zod';
import type {CellName} from '@siskinhub/core/table/cell-name.js';
import {CELL_RULES} from '@siskinhub/core/table/cell-rules.js';
import {describeCellValues} from '@siskinhub/core/table/describe-cell-values.js';
import {isCellValue} from '@siskinhub/core/table/is-cell-value.js';
import {isRowKey} from '@siskinhub/core/table/is-row-key.js';
import {buildSectionSchema} from '@siskinhub/settings/schema/build-section-schema.js';

const NAME_ERROR = 'a row name of 1 to 63 unaccented letters, digits, dots, hyphens and underscores that begins with a letter or digit';

const buildCell = (cell: CellName) => z.unknown()
	.refine(value => isCellValue(cell, value), {error: describeCellValues(cell)})
	.optional();

const cellNames = Object.keys(CELL_RULES) as CellName[];
const RowSchema = buildSectionSchema(Object.fromEntries(cellNames.map(cell => [cell, buildCell(cell)]))).nullable();

const buildRows = (kind: string) => z.record(z.string().refine(name => isRowKey(`${kind}/${name}`), {error: NAME_ERROR}), RowSchema, {
	error: issue => issue.code === 'invalid_key' ? NAME_ERROR : `a mapping from the name of a ${kind} to its cells`,
}).nullable().optional();

/** Rows are grouped by `deployment`, `kind` and `workspace`; each holds its cells. */
export const TableFileSchema = buildSectionSchema({
	deployment: buildRows('deployment'),
	kind: buildRows('kind'),
	workspace: buildRows('workspace'),
});
