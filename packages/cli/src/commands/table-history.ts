/**
The `siskinhub table history` command: prints the accepted edits of the table or,
with `--edit`, whether one edit was accepted.
*/
import {Flags} from '@oclif/core';
import {TableCommand} from '../command/table-command.js';
import type {OperatorClient} from '../entry/operator-client.js';
import {RevisionSchema} from '../entry/revision-schema.js';
import {renderTableHistory} from '../format/render-table-history.js';
import {TableHistorySchema} from '../table/table-history-schema.js';

const DEFAULT_EDITS = 20;
const MAX_EDITS = 1000;

export class TableHistory extends TableCommand {
	static override summary = 'Show the accepted edits of the table, newest first.';
	static override flags = {
		limit: Flags.integer({
			helpValue: 'EDITS', default: DEFAULT_EDITS, min: 1, max: MAX_EDITS, description: 'how many edits to show',
		}),
		edit: Flags.string({
			helpValue: 'EDIT', description: 'show whether one edit took effect; if it has not by then, it never will',
		}),
	};

	static override examples = ['<%= config.bin %> table history --limit 5', '<%= config.bin %> table history --edit 3805cb44-fb8c-497e-b3f0-b872ec2ea9ad'];

	async run(): Promise<unknown> {
		const {flags} = await this.parse(TableHistory);
		const client = await this.connect(flags);
		if (flags.edit !== undefined) {
			return this.showFate(client, flags.edit);
		}

		const history = this.expectResponse(await client.ask({method: 'GET', path: `/v1/table/history?limit=${flags.limit}`, schema: TableHistorySchema}));
		this.log(history.edits.length === 0 ? 'The table has never been edited.' : renderTableHistory(history.edits));
		return history;
	}

	private async showFate(client: OperatorClient, editId: string): Promise<unknown> {
		const fate = await client.ask({method: 'GET', path: `/v1/table/edits/${encodeURIComponent(editId)}`, schema: RevisionSchema});
		if (fate.isErr() && fate.error.kind === 'refused' && fate.error.refusal.code === 'unknown-request') {
			this.log(`The edit ${editId} did not take effect and never will. Run the command again if you still want the edit.`);
			return {editId, accepted: false};
		}

		const {revision} = this.expectResponse(fate);
		this.log(`The edit ${editId} was accepted at revision ${revision}.`);
		return {editId, accepted: true, revision};
	}
}
