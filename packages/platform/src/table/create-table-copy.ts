/**
Holds one process's copy of the operators' table. Its revision only increases:
updates may arrive late or out of order, but a lower revision never replaces a
higher one.
*/
import type {Revision} from '@siskinhub/core/ids/revision.js';
import {EMPTY_TABLE_LOG_STATE} from '@siskinhub/core/table/empty-table-log-state.js';
import {foldEdit} from '@siskinhub/core/table/fold-edit.js';
import {listEditsSince} from '@siskinhub/core/table/list-edits-since.js';
import type {TableLogState} from '@siskinhub/core/table/table-log-state.js';
import type {TableDelta} from './table-delta.js';

type TableCopy = {
	/** The newest known state. */
	readonly state: () => TableLogState;
	readonly revision: () => Revision;
	/** Returns what a neighbour at `revision` lacks, or `undefined` if it is up to date. */
	readonly getDeltaSince: (revision: Revision) => TableDelta | undefined;
	/** Applies a delta from a neighbour. Returns `false` if edits in between are missing; the neighbour should then be asked for all edits after `revision()`. */
	readonly applyDelta: (delta: TableDelta) => boolean;
	/** Replaces the state by one read from the log, if that is newer. */
	readonly adopt: (candidate: TableLogState) => void;
	/** Calls `listener` after each update that raises the revision, by one or more; returns the function that unsubscribes it. */
	readonly subscribe: (listener: (state: TableLogState) => void) => () => void;
};

/** Creates a copy at revision 0. */
export const createTableCopy = (): TableCopy => {
	const listeners = new Set<(state: TableLogState) => void>();
	let state = EMPTY_TABLE_LOG_STATE;

	const adopt = (candidate: TableLogState) => {
		if (candidate.table.revision <= state.table.revision) {
			return;
		}

		state = candidate;
		for (const listener of listeners) {
			listener(state);
		}
	};

	return {
		state: () => state,
		revision: () => state.table.revision,
		getDeltaSince(revision) {
			if (revision >= state.table.revision) {
				return undefined;
			}

			const edits = listEditsSince(state, revision);
			return edits ? {kind: 'edits', edits} : {kind: 'full', state};
		},
		applyDelta(delta) {
			if (delta.kind === 'full') {
				adopt(delta.state);
				return true;
			}

			let next = state;
			for (const edit of delta.edits) {
				if (edit.revision > next.table.revision + 1) {
					return false;
				}

				if (edit.revision > next.table.revision) {
					next = foldEdit(next, edit);
				}
			}

			adopt(next);
			return true;
		},
		adopt,
		subscribe(listener) {
			listeners.add(listener);
			return () => {
				listeners.delete(listener);
			};
		},
	};
};
