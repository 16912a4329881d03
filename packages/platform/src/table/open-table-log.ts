/**
Opens the log of the operators' table. All processes may write to it; concurrent
edits are validated in the order of the log.
*/
import {ok, type Result} from 'neverthrow';
import {applyEdit} from '@siskinhub/core/table/apply-edit.js';
import type {EditRefusal} from '@siskinhub/core/table/edit-refusal.js';
import {EMPTY_TABLE_LOG_STATE} from '@siskinhub/core/table/empty-table-log-state.js';
import type {TableLogState} from '@siskinhub/core/table/table-log-state.js';
import type {LogOptions} from '../log/log-options.js';
import {openLog} from '../open-log.js';
import type {PlatformError} from '../platform-error.js';
import type {ReplicatedLog} from '../replicated-log.js';
import {foldTableItem} from './fold-table-item.js';
import type {TableLogItem} from './table-log-item.js';

const COMMIT_WINDOW_MS = 100;

type TableLog = ReplicatedLog<TableLogItem, TableLogState, EditRefusal>;
type TableLogOptions = Pick<LogOptions<TableLogItem, TableLogState, EditRefusal>, 'client' | 'writer' | 'createCommitId' | 'slotCount'>;

/** Each edit is validated against the state that precedes it in the log, even if several writers race. */
export const openTableLog = async (options: TableLogOptions): Promise<Result<TableLog, PlatformError>> => openLog({
	...options,
	log: 'table',
	mode: 'shared',
	initialState: EMPTY_TABLE_LOG_STATE,
	fold: foldTableItem,
	prepare: (item, state) => item.kind === 'edit' ? applyEdit(state, item.edit).map(() => item) : ok(item),
	commitWindowMs: COMMIT_WINDOW_MS,
});
