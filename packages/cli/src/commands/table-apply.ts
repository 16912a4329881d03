/**
The `siskinhub table apply` command: changes the table to match a file, in a
single edit.
*/
import {Args, Flags} from '@oclif/core';
import {TableCommand} from '../command/table-command.js';
import {WAIT_FLAG} from '../command/wait-flag.js';
import {renderChanges} from '../format/render-changes.js';
import {diffTable} from '../table/diff-table.js';

export class TableApply extends TableCommand {
	static override summary = 'Change the table to match a file, in one edit that is accepted or refused as a whole.';
	static override args = {file: Args.string({required: true, description: 'YAML file with the table'})};
	static override flags = {
		prune: Flags.boolean({description: 'remove rows that are not in the file'}),
		wait: WAIT_FLAG,
	};

	async run(): Promise<unknown> {
		const {args, flags} = await this.parse(TableApply);
		const declared = await this.readTableFile(args.file);
		const client = await this.connect(flags);
		const view = await this.readTable(client);
		const {changes, unlisted} = diffTable(view, declared, flags.prune);
		if (changes.length === 0) {
			this.log(`Nothing to change: the table at revision ${view.revision} matches ${args.file}.`);
			this.reportUnlisted(unlisted);
			return {revision: view.revision, changes, unlisted};
		}

		this.log(renderChanges(changes, view));
		const accepted = await this.submit(client, {against: view.revision, changes, waitSeconds: flags.wait});
		this.log(`Accepted at revision ${accepted.revision}: ${changes.length} changes`);
		this.reportUnlisted(unlisted);
		return {...accepted, changes, unlisted};
	}
}
