/**
The `siskinhub program end` command: ends a program at an entry.
*/
import {Args} from '@oclif/core';
import * as z from 'zod';
import {EntryCommand} from '../command/entry-command.js';

const EndedSchema = z.object({program: z.string(), state: z.literal('ended')});

export class ProgramEnd extends EntryCommand {
	static override summary = 'End a program and its sub-agents, and release what they hold.';
	static override args = {program: Args.string({required: true, description: 'id of the program'})};

	async run(): Promise<unknown> {
		const {args, flags} = await this.parse(ProgramEnd);
		const client = await this.connect(flags);
		const ended = this.expectResponse(await client.ask({method: 'POST', path: `/v1/programs/${encodeURIComponent(args.program)}/end`, schema: EndedSchema}));
		this.log(`Program ${ended.program} has ended.`);
		return ended;
	}
}
