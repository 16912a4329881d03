/**
Schema of the table's history in the response of an entry.
*/
import * as z from 'zod';

const ChangeSchema = z.object({
	kind: z.enum(['set', 'clear', 'add-row', 'remove-row']),
	row: z.string(),
	cell: z.string().optional(),
	value: z.number().optional(),
});

/** Accepted edits, newest first. */
export const TableHistorySchema = z.object({
	edits: z.array(z.object({
		revision: z.number(),
		editId: z.string(),
		who: z.string(),
		at: z.number(),
		changes: z.array(ChangeSchema),
	})),
});
