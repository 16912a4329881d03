/**
Gives an edit up whose fate its editor does not know.
*/
import type {TableLogState} from './table-log-state.js';

const MAX_KEPT_IDS = 500;

/** Makes sure that the edit never takes effect, unless it has already. */
export const abandonEdit = (state: TableLogState, editId: string): TableLogState =>
	state.abandoned.includes(editId) || state.edits.some(edit => edit.editId === editId)
		? state
		: {...state, abandoned: [...state.abandoned, editId].slice(-MAX_KEPT_IDS)};
