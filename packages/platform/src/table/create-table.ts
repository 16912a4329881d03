/**
Gives one process access to the operators' table. Reads come from a local copy,
which is updated from the log (if this process watches it) and from neighbours;
edits are written to the log only.
*/
import {err, ok, type Result} from 'neverthrow';
import type {Revision} from '@siskinhub/core/ids/revision.js';
import type {EditRefusal} from '@siskinhub/core/table/edit-refusal.js';
import type {TableEdit} from '@siskinhub/core/table/table-edit.js';
import type {AppendError} from '../log/append-error.js';
import type {PlatformClient} from '../platform-client.js';
import {createLazyLog} from './create-lazy-log.js';
import {createTableCopy} from './create-table-copy.js';
import {findTableEdit} from './find-table-edit.js';
import {openTableLog} from './open-table-log.js';
import {watchTable} from './watch-table.js';

type TableOptions = {
	readonly client: PlatformClient;
	/** Identifies this process in the log's entries. */
	readonly writer: string;
	/** Returns a random string, unique for each commit. */
	readonly createCommitId: () => string;
	/** Whether this process is one of the few per data centre that watch the log. */
	readonly isWatcher: () => boolean;
};

type SubmitError = Exclude<AppendError, {kind: 'rejected'}> | EditRefusal;

type Table = Omit<ReturnType<typeof createTableCopy>, 'adopt'> & {
	/** Writes an edit to the log. After `unavailable` with the fate `unknown`, call `findEdit`, or submit the edit again with the same id. */
	readonly submitEdit: (edit: TableEdit, options?: {readonly timeoutMs?: number}) => Promise<Result<{readonly revision: Revision}, SubmitError>>;
	/** Determines from the log whether an edit has taken effect. If it has not, makes sure that it never will. */
	readonly findEdit: (request: {readonly editId: string; readonly against?: Revision}) => ReturnType<typeof findTableEdit>;
	/** Reads the log now; returns whether that succeeded. */
	readonly refresh: () => Promise<boolean>;
	readonly close: () => void;
};

/** Starts following the table. Its revision is 0 until the log or a neighbour has answered. */
export const createTable = (options: TableOptions): Table => {
	const {adopt, ...copy} = createTableCopy();
	const log = createLazyLog(async () => openTableLog(options));
	const controller = new AbortController();

	const refresh = async () => {
		const opened = await log.get();
		if (opened.isErr()) {
			return false;
		}

		const refreshed = await opened.value.refresh();
		adopt(opened.value.state());
		return refreshed.isOk();
	};

	void watchTable({...options, refresh, signal: controller.signal});

	return {
		...copy,
		refresh,
		async submitEdit(edit, {timeoutMs} = {}) {
			const opened = await log.get();
			if (opened.isErr()) {
				return err({kind: 'unavailable', message: opened.error.message, fate: 'not-written'});
			}

			const appended = await opened.value.append({kind: 'edit', edit}, {timeoutMs});
			const state = opened.value.state();
			adopt(state);
			if (appended.isErr()) {
				return err(appended.error.kind === 'rejected' ? appended.error.rejection : appended.error);
			}

			const accepted = state.edits.find(({editId}) => editId === edit.editId);
			return accepted
				? ok({revision: accepted.revision})
				: err({kind: 'unavailable', message: 'The edit took effect; read the table for its revision.', fate: 'unknown'});
		},
		async findEdit(request) {
			const opened = await log.get();
			if (opened.isErr()) {
				return err({kind: 'unknown', message: opened.error.message});
			}

			const found = await findTableEdit(opened.value, request);
			adopt(opened.value.state());
			return found;
		},
		close() {
			controller.abort();
			log.close();
		},
	};
};
