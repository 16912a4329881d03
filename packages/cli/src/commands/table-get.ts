/**
The `siskinhub table get` command: prints the table, one of its rows, or the table
as a YAML file.
*/
import {Args, Flags} from '@oclif/core';
import {EXIT_CODE} from '../command/exit-code.js';
import {TableCommand} from '../command/table-command.js';
import {renderRow} from '../format/render-row.js';
import {renderTableFile} from '../format/render-table-file.js';
import {renderTableView} from '../format/render-table-view.js';
import type {TableView} from '../table/table-view.js';

const describeTable = (view: TableView): string => Object.keys(view.rows).length === 0
	? `The table has no rows (revision ${view.revision}). "siskinhub table apply FILE" or "siskinhub table set ROW.CELL VALUE --new-row" adds some.`
	: `${renderTableView(view)}\nrevision ${view.revision}`;

export class TableGet extends TableCommand {
	static override summary = 'Show the table, or one row with the author of each cell.';
	static override args = {row: Args.string({description: 'deployment/NAME, kind/NAME or workspace/NAME'})};
	static override flags = {yaml: Flags.boolean({description: 'print the table as a YAML file for version control'})};
	static override examples = ['<%= config.bin %> table get', '<%= config.bin %> table get workspace/huenchullan', '<%= config.bin %> table get --yaml > table.yaml'];

	async run(): Promise<unknown> {
		const {args, flags} = await this.parse(TableGet);
		const view = await this.readTable(await this.connect(flags));
		if (args.row !== undefined) {
			return this.showRow(args.row, view);
		}

		this.log(flags.yaml ? renderTableFile(view).trimEnd() : describeTable(view));
		return view;
	}

	private showRow(row: string, {revision, rows}: TableView): unknown {
		const cells = rows[row];
		if (!cells) {
			return this.fail({code: 'unknown-row', message: `The table has no row ${row}. "siskinhub table get" lists the rows.`, exitCode: EXIT_CODE.FAILED});
		}

		this.log(`${renderRow(cells)}\n${row} at revision ${revision}`);
		return {revision, row, cells};
	}
}
