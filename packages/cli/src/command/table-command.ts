/**
Base class of the commands that read or edit the operators' table.
*/
import {randomUUID} from 'node:crypto';
import type {Revision} from '@siskinhub/core/ids/revision.js';
import type {ConfigError} from '@siskinhub/settings/config-error.js';
import {formatConfigError} from '@siskinhub/settings/format-config-error.js';
import type {OperatorClient} from '../entry/operator-client.js';
import {submitEdit} from '../entry/submit-edit.js';
import type {DeclaredRows} from '../table/declared-rows.js';
import {loadTableFile} from '../table/load-table-file.js';
import type {TableChange} from '../table/table-change.js';
import {TableViewSchema} from '../table/table-view-schema.js';
import type {TableView} from '../table/table-view.js';
import {describeEditFailure} from './describe-edit-failure.js';
import {EntryCommand} from './entry-command.js';
import {EXIT_CODE} from './exit-code.js';

const MS_PER_SECOND = 1000;

type EditOptions = {
	/** The revision that the edit is based on. */
	readonly against: number;
	readonly changes: readonly TableChange[];
	readonly waitSeconds: number;
};

type AcceptedEdit = {readonly revision: number; readonly editId: string};

export abstract class TableCommand extends EntryCommand {
	protected async readTable(client: OperatorClient): Promise<TableView> {
		return this.expectResponse(await client.ask({method: 'GET', path: '/v1/table', schema: TableViewSchema}));
	}

	protected async readTableFile(file: string): Promise<DeclaredRows> {
		const declared = await loadTableFile(file);
		return declared.isOk() ? declared.value : this.failFile(declared.error);
	}

	/** Submits one edit and fails the command unless it was accepted. */
	protected async submit(client: OperatorClient, {against, changes, waitSeconds}: EditOptions): Promise<AcceptedEdit> {
		const editId = randomUUID();
		const accepted = await submitEdit(client, {editId, against: against as Revision, changes}, waitSeconds * MS_PER_SECOND);
		return accepted.isOk() ? {revision: accepted.value, editId} : this.fail(describeEditFailure(accepted.error));
	}

	/** Prints the rows that are not in the file and were left in the table. */
	protected reportUnlisted(rows: readonly string[]): void {
		if (rows.length > 0) {
			this.log(`Not in the file and left as they are (--prune removes them): ${rows.join(', ')}`);
		}
	}

	private failFile(errors: readonly ConfigError[]): never {
		return this.fail({
			code: 'table-file', message: errors.map(error => formatConfigError(error)).join('\n'), exitCode: EXIT_CODE.USAGE, details: {faults: errors},
		});
	}
}
