/**
What one process tells its neighbour of the table.
*/
import type {AcceptedEdit} from '@siskinhub/core/table/accepted-edit.js';
import type {TableLogState} from '@siskinhub/core/table/table-log-state.js';

/** The edits after a revision, or everything where the kept history does not reach back to it. */
export type TableDelta =
	| {readonly kind: 'edits'; readonly edits: readonly AcceptedEdit[]}
	| {readonly kind: 'full'; readonly state: TableLogState};
