/**
One process's copy of the operators' table. It only moves forward: whatever
arrives late or out of order, a lower revision never replaces a higher one.
*/
import type {Revision} from '@siskinhub/core/ids/revision.js';
import {emptyTable} from '@siskinhub/core/table/empty-table.js';
import {foldEdit} from '@siskinhub/core/table/fold-edit.js';
import {listEditsSince} from '@siskinhub/core/table/list-edits-since.js';
import type {TableLogState} from '@siskinhub/core/table/table-log-state.js';
import type {TableDelta} from './table-delta.js';

type TableCopy = {
	/** The newest state known. */
	readonly state: () => TableLogState;
	readonly revision: () => Revision;
	/** What a neighbour at `revision` lacks; `undefined` if nothing. */
	readonly deltaSince: (revision: Revision) => TableDelta | undefined;
	/** Takes what a neighbour sent; returns `false` if edits between are missing and should be asked for from `revision()` on. */
	readonly applyDelta: (delta: TableDelta) => boolean;
	/** Takes a state read from the log, if it is newer. */
	readonly adopt: (candidate: TableLogState) => void;
	/** Calls `listener` after each new revision; returns the function that ends it. */
	readonly subscribe: (listener: (state: TableLogState) => void) => () => void;
};

/** Creates a copy at revision 0. */
export const createTableCopy = (): TableCopy => {
	const listeners = new Set<(state: TableLogState) => void>();
	let state = emptyTable;

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
		deltaSince(revision) {
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
