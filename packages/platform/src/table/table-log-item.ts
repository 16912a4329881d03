/**
Defines the items of the table's log.
*/
import type {TableEdit} from '@siskinhub/core/table/table-edit.js';

/** An edit, or a tombstone (`abandon`) that prevents an edit from taking effect. */
export type TableLogItem =
	| {readonly kind: 'edit'; readonly edit: TableEdit}
	| {readonly kind: 'abandon'; readonly editId: string};
