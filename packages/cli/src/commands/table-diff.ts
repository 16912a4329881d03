/**
The `siskinhub table diff` command: prints what `table apply` would change.
*/
import {Args, Flags} from '@oclif/core';
import {TableCommand} from '../command/table-command.js';
import {renderChanges} from '../format/render-changes.js';
import {diffTable} from '../table/diff-table.js';

export class TableDiff extends TableCommand {
	static override summary = 'Show what "table apply" would change, without changing anything.';
	static override args = {file: Args.string({required: true, description: 'YAML file with the table'})};
	static override flags = {prune: Flags.boolean({description: 'also list rows that are not in the file, as removed'})};

	async run(): Promise<unknown> {
		const {args, flags} = await this.parse(TableDiff);
		const declared = await this.readTableFile(args.file);
		const view = await this.readTable(await this.connect(flags));
		const {changes, unlisted} = diffTable(view, declared, flags.prune);
		this.log(changes.length === 0
			? `No difference: the table at revision ${view.revision} matches ${args.file}.`
			: `${renderChanges(changes, view)}\n${changes.length} changes against revision ${view.revision}`);
		this.reportUnlisted(unlisted);
		return {revision: view.revision, changes, unlisted};
	}
}
