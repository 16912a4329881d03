/**
Defines the update that brings a neighbour's copy of the table up to date.
*/
import type {AcceptedEdit} from '@siskinhub/core/table/accepted-edit.js';
import type {TableLogState} from '@siskinhub/core/table/table-log-state.js';

/** The edits after a revision, or the full state if the kept history does not reach back to that revision. */
export type TableDelta =
	| {readonly kind: 'edits'; readonly edits: readonly AcceptedEdit[]}
	| {readonly kind: 'full'; readonly state: TableLogState};
