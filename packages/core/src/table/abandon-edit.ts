/**
Abandons an edit whose outcome its editor does not know, for example after a lost answer.
*/
import type {TableLogState} from './table-log-state.js';

const MAX_KEPT_IDS = 500;

/** Returns a state in which the edit can no longer take effect, or the same state if it already has. */
export const abandonEdit = (state: TableLogState, editId: string): TableLogState =>
	state.abandoned.includes(editId) || state.edits.some(edit => edit.editId === editId)
		? state
		: {...state, abandoned: [...state.abandoned, editId].slice(-MAX_KEPT_IDS)};
