/**
The `siskinhub upstream list` command: prints the upstreams that an entry knows,
with their load.
*/
import * as z from 'zod';
import {EntryCommand} from '../command/entry-command.js';
import {renderGrid} from '../format/render-grid.js';

const UpstreamsSchema = z.object({
	upstreams: z.array(z.object({
		id: z.string(),
		kind: z.string(),
		target: z.string(),
		dataCentre: z.string(),
		state: z.string(),
		running: z.number(),
		queued: z.number(),
		reportAgeMs: z.number().nullable(),
		heldPrefixes: z.number(),
	})),
});

export class UpstreamList extends EntryCommand {
	static override summary = 'List the upstreams with their running and queued calls.';

	async run(): Promise<unknown> {
		const {flags} = await this.parse(UpstreamList);
		const client = await this.connect(flags);
		const response = this.expectResponse(await client.ask({method: 'GET', path: '/v1/upstreams', schema: UpstreamsSchema}));
		this.log(response.upstreams.length === 0
			? 'The entry knows no upstreams yet.'
			: renderGrid(
				['upstream', 'kind', 'target', 'data centre', 'state', 'running', 'queued', 'held prefixes', 'last report (ms ago)'],
				response.upstreams.map(upstream => [
					upstream.id,
					upstream.kind,
					upstream.target,
					upstream.dataCentre,
					upstream.state,
					upstream.running,
					upstream.queued,
					upstream.heldPrefixes,
					upstream.reportAgeMs ?? 'none yet',
				]),
			));
		return response;
	}
}
