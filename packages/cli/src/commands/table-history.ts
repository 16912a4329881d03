/**
`siskinhub table history`.
*/
import {Flags} from '@oclif/core';
import {TableCommand} from '../command/table-command.js';
import {renderTableHistory} from '../format/render-table-history.js';
import {TableHistorySchema} from '../table/table-history-schema.js';

const DEFAULT_EDITS = 20;
const MAX_EDITS = 1000;

/** Shows accepted edits. */
export class TableHistory extends TableCommand {
	static override summary = 'Show the accepted edits of the table, newest first.';
	static override flags = {
		limit: Flags.integer({
			helpValue: 'EDITS', default: DEFAULT_EDITS, min: 1, max: MAX_EDITS, description: 'how many edits to show',
		}),
	};

	async run(): Promise<unknown> {
		const {flags} = await this.parse(TableHistory);
		const client = await this.connect(flags);
		const history = this.expectAnswer(await client.ask({method: 'GET', path: `/v1/table/history?limit=${flags.limit}`, schema: TableHistorySchema}));
		this.log(history.edits.length === 0 ? 'The table has never been edited.' : renderTableHistory(history.edits));
		return history;
	}
}
