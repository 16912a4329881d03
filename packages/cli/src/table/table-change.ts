/**
One change of a table edit.
*/
import type {TableEdit} from '@siskinhub/core/table/table-edit.js';

/** Sets or clears a cell, or adds or removes a row. */
export type TableChange = TableEdit['changes'][number];
