/**
Items of the table's log.
*/
import type {TableEdit} from '@siskinhub/core/table/table-edit.js';

/** An edit, or the end of an edit's chance to take effect. */
export type TableLogItem =
	| {readonly kind: 'edit'; readonly edit: TableEdit}
	| {readonly kind: 'abandon'; readonly editId: string};
