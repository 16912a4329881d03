/**
`siskinhub program show`.
*/
import {Args} from '@oclif/core';
import {EntryCommand} from '../command/entry-command.js';
import {ProgramHistorySchema} from '../entry/program-history-schema.js';
import {ProgramSchema} from '../entry/program-schema.js';
import {renderGrid} from '../format/render-grid.js';

/** Shows a program and its turns. */
export class ProgramShow extends EntryCommand {
	static override summary = 'Show a program, how far it is and what its turns cost.';
	static override args = {program: Args.string({required: true, description: 'id of the program'})};

	async run(): Promise<unknown> {
		const {args, flags} = await this.parse(ProgramShow);
		const client = await this.connect(flags);
		const path = `/v1/programs/${encodeURIComponent(args.program)}`;
		const program = this.expectAnswer(await client.ask({method: 'GET', path, schema: ProgramSchema}));
		const history = this.expectAnswer(await client.ask({method: 'GET', path: `${path}/history`, schema: ProgramHistorySchema}));
		this.log(renderGrid(['program', 'workspace', 'kind', 'deployment', 'parent', 'state', 'next turn', 'spent (tokens)'], [[
			program.program, program.workspace, program.kind, program.deployment, program.parent, program.state, program.nextTurn, program.spentTokens,
		]]));
		if (history.turns.length > 0) {
			this.log(renderGrid(['turn', 'request', 'prompt (tokens)', 'output (tokens)'], history.turns.map(({turn, requestId, promptTokens, outputTokens}) =>
				[turn, requestId, promptTokens, outputTokens])));
		}

		return {...program, history};
	}
}
