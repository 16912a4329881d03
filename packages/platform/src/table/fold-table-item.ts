/**
Folds one item of the table's log into the table's state.
*/
import type {Revision} from '@siskinhub/core/ids/revision.js';
import {abandonEdit} from '@siskinhub/core/table/abandon-edit.js';
import {foldEdit} from '@siskinhub/core/table/fold-edit.js';
import type {TableLogState} from '@siskinhub/core/table/table-log-state.js';
import type {TableLogItem} from './table-log-item.js';

/** Returns the state after a tombstone or an edit that `applyEdit` has accepted. An edit that the state already contains has no effect. */
export const foldTableItem = (state: TableLogState, item: TableLogItem): TableLogState => {
	if (item.kind === 'abandon') {
		return abandonEdit(state, item.editId);
	}

	return state.edits.some(({editId}) => editId === item.edit.editId)
		? state
		: foldEdit(state, {...item.edit, revision: state.table.revision + 1 as Revision});
};
