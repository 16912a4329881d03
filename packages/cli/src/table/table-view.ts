/**
The table as an entry serves it to operators.
*/
import type * as z from 'zod';
import type {TableViewSchema} from './table-view-schema.js';

/** The whole table at one revision. */
export type TableView = z.output<typeof TableViewSchema>;
