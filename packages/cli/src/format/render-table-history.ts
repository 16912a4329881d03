/**
Renders the history of the operators' table as text.
*/
import type * as z from 'zod';
import type {TableHistorySchema} from '../table/table-history-schema.js';
import {formatTime} from './format-time.js';
import {renderGrid} from './render-grid.js';

type Edit = z.output<typeof TableHistorySchema>['edits'][number];

const describeChange = ({kind, row, cell, value}: Edit['changes'][number]): string => {
	switch (kind) {
		case 'set': {
			return `${row}.${cell} = ${value}`;
		}

		case 'clear': {
			return `${row}.${cell} cleared`;
		}

		case 'add-row': {
			return `${row} added`;
		}

		case 'remove-row': {
			return `${row} removed`;
		}
	}
};

/** One row per edit, with one line per change. */
export const renderTableHistory = (edits: readonly Edit[]): string => renderGrid(
	['revision', 'when', 'who', 'changes', 'edit'],
	edits.map(({revision, at, who, changes, editId}) => [revision, formatTime(at), who, changes.map(change => describeChange(change)).join('\n'), editId]),
);
