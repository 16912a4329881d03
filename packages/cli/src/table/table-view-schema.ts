/**
Schema of the table as entries answer it.
*/
import * as z from 'zod';

const CellSchema = z.object({value: z.number(), revision: z.number(), who: z.string()});

/** Rows by name, and their cells. */
export const TableViewSchema = z.object({
	revision: z.number(),
	rows: z.record(z.string(), z.record(z.string(), CellSchema)),
});
