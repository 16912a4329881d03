/**
The `siskinhub upstream drain` command: stops new work for an upstream.
*/
import {Args} from '@oclif/core';
import * as z from 'zod';
import {EntryCommand} from '../command/entry-command.js';

const DrainedSchema = z.object({id: z.string(), state: z.string()});

export class UpstreamDrain extends EntryCommand {
	static override summary = 'Send no new work to an upstream; running calls finish.';
	static override args = {upstream: Args.string({required: true, description: 'id of the upstream'})};

	async run(): Promise<unknown> {
		const {args, flags} = await this.parse(UpstreamDrain);
		const client = await this.connect(flags);
		const drained = this.expectResponse(await client.ask({method: 'POST', path: `/v1/upstreams/${encodeURIComponent(args.upstream)}/drain`, schema: DrainedSchema}));
		this.log(`Upstream ${drained.id} is ${drained.state}: it takes no new work. "siskinhub upstream list" shows when no call is running there.`);
		return drained;
	}
}
