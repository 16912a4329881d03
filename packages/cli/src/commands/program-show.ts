/**
The `siskinhub program show` command: prints a program and its turns.
*/
import {Args} from '@oclif/core';
import type * as z from 'zod';
import {describeEntryError} from '../command/describe-entry-error.js';
import {EntryCommand} from '../command/entry-command.js';
import {ProgramHistorySchema} from '../entry/program-history-schema.js';
import {ProgramSchema} from '../entry/program-schema.js';
import {renderGrid} from '../format/render-grid.js';

const renderTurns = ({turns}: z.output<typeof ProgramHistorySchema>): string => turns.length === 0
	? 'No turn has ended yet.'
	: renderGrid(['turn', 'request', 'prompt (tokens)', 'output (tokens)'], turns.map(({turn, requestId, promptTokens, outputTokens}) =>
		[turn, requestId, promptTokens, outputTokens]));

/** If the history cannot be read, the program is still shown and the error stands in place of the turns. */
export class ProgramShow extends EntryCommand {
	static override summary = 'Show a program, its progress and the tokens that its turns used.';
	static override args = {program: Args.string({required: true, description: 'id of the program'})};

	async run(): Promise<unknown> {
		const {args, flags} = await this.parse(ProgramShow);
		const client = await this.connect(flags);
		const path = `/v1/programs/${encodeURIComponent(args.program)}`;
		const program = this.expectResponse(await client.ask({method: 'GET', path, schema: ProgramSchema}));
		const history = await client.ask({method: 'GET', path: `${path}/history`, schema: ProgramHistorySchema});
		this.log(renderGrid(['program', 'workspace', 'kind', 'deployment', 'parent', 'state', 'next turn', 'spent (tokens)'], [[
			program.program, program.workspace, program.kind, program.deployment, program.parent, program.state, program.nextTurn, program.spentTokens,
		]]));
		this.log(history.match(renderTurns, error => `The turns cannot be read now. ${describeEntryError(error).message}`));
		return {...program, history: history.match(turns => turns, error => ({error: describeEntryError(error)}))};
	}
}
