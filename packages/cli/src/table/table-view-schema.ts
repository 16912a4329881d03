/**
Schema of the table in the response of an entry.
*/
import * as z from 'zod';

const CellSchema = z.object({value: z.number(), revision: z.number(), who: z.string()});

/** Rows by row key, each with its cells by name. */
export const TableViewSchema = z.object({
	revision: z.number(),
	rows: z.record(z.string(), z.record(z.string(), CellSchema)),
});
