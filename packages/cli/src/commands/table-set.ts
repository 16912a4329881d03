/**
The `siskinhub table set` command: sets or clears one cell of the table.
*/
import {Args, Flags} from '@oclif/core';
import {EXIT_CODE} from '../command/exit-code.js';
import {TableCommand} from '../command/table-command.js';
import {WAIT_FLAG} from '../command/wait-flag.js';
import {parseCellTarget} from '../table/parse-cell-target.js';
import type {TableChange} from '../table/table-change.js';
import type {TableView} from '../table/table-view.js';

export class TableSet extends TableCommand {
	static override summary = 'Set one cell of the table, or clear it with the value "none".';
	static override args = {
		target: Args.string({name: 'ROW.CELL', required: true, description: 'the cell, such as workspace/huenchullan.weight'}),
		value: Args.string({required: true, description: 'a number, or "none" to clear the cell'}),
	};

	static override flags = {
		'new-row': Flags.boolean({description: 'add the row if the table does not have it'}),
		against: Flags.integer({helpValue: 'REVISION', min: 0, description: 'the revision that you saw; the edit is refused if the cell has changed since (default: the current revision)'}),
		wait: WAIT_FLAG,
	};

	static override examples = ['<%= config.bin %> table set workspace/huenchullan.weight 3', '<%= config.bin %> table set kind/splice-check.turns none'];

	async run(): Promise<unknown> {
		const {args, flags} = await this.parse(TableSet);
		const change = parseCellTarget(args.target, args.value);
		if (change.isErr()) {
			return this.fail({code: 'usage', message: change.error, exitCode: EXIT_CODE.USAGE});
		}

		const client = await this.connect(flags);
		const view = await this.readTable(client);
		const changes = this.addMissingRow(change.value, view, flags['new-row']);
		const accepted = await this.submit(client, {against: flags.against ?? view.revision, changes, waitSeconds: flags.wait});
		this.log(`Accepted at revision ${accepted.revision}: ${args.target} ${change.value.kind === 'clear' ? 'cleared' : `= ${args.value}`}`);
		return {...accepted, changes};
	}

	private addMissingRow(change: TableChange, {rows}: TableView, isNewAllowed: boolean): readonly TableChange[] {
		if (rows[change.row]) {
			return [change];
		}

		return isNewAllowed
			? [{kind: 'add-row', row: change.row}, change]
			: this.fail({code: 'unknown-row', message: `The table has no row ${change.row}. Check the name with "siskinhub table get", or add --new-row.`, exitCode: EXIT_CODE.FAILED});
	}
}
