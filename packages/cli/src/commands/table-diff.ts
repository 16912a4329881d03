/**
`siskinhub table diff`.
*/
import {Args, Flags} from '@oclif/core';
import {TableCommand} from '../command/table-command.js';
import {renderChanges} from '../format/render-changes.js';
import {diffTable} from '../table/diff-table.js';

/** Shows what `apply` would change. */
export class TableDiff extends TableCommand {
	static override summary = 'Show what "table apply" would change; changes nothing.';
	static override args = {file: Args.string({required: true, description: 'YAML file with the table'})};
	static override flags = {prune: Flags.boolean({description: 'also list rows that the file does not have as removed'})};

	async run(): Promise<unknown> {
		const {args, flags} = await this.parse(TableDiff);
		const declared = await this.readTableFile(args.file);
		const view = await this.readTable(await this.connect(flags));
		const {changes, unlisted} = diffTable(view, declared, flags.prune);
		this.log(changes.length === 0
			? `No difference: the table at revision ${view.revision} has what ${args.file} says.`
			: `${renderChanges(changes, view)}\n${changes.length} changes against revision ${view.revision}`);
		this.reportUnlisted(unlisted);
		return {revision: view.revision, changes, unlisted};
	}
}
