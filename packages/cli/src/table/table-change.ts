/**
One change of an edit.
*/
import type {TableEdit} from '@siskinhub/core/table/table-edit.js';

/** A cell set or cleared, a row added or removed. */
export type TableChange = TableEdit['changes'][number];
