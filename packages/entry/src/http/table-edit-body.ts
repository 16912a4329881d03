/**
Validates the shape of the body of a table edit. The names of rows and cells and
their values are validated when the edit is applied, which reports all faults at
once.
*/
import * as z from 'zod';
import type {Revision} from '@siskinhub/core/ids/revision.js';
import type {CellName} from '@siskinhub/core/table/cell-name.js';
import type {RowKey} from '@siskinhub/core/table/row-key.js';

const row = z.custom<RowKey>(value => typeof value === 'string', 'expected the name of a row');
const cell = z.custom<CellName>(value => typeof value === 'string', 'expected the name of a cell');

/** The fields are described in docs/guide/http-api.md. */
export const tableEditBodySchema = z.strictObject({
	editId: z.string(),
	against: z.int().min(0).transform(revision => revision as Revision),
	changes: z.array(z.discriminatedUnion('kind', [
		z.strictObject({
			kind: z.literal('set'), row, cell, value: z.number(),
		}),
		z.strictObject({kind: z.literal('clear'), row, cell}),
		z.strictObject({kind: z.literal('add-row'), row}),
		z.strictObject({kind: z.literal('remove-row'), row}),
	])),
});
