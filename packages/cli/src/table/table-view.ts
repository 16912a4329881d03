/**
The table as an operator sees it.
*/
import type * as z from 'zod';
import type {TableViewSchema} from './table-view-schema.js';

/** The table at one revision. */
export type TableView = z.output<typeof TableViewSchema>;
