/**
The `siskinhub status` command: asks each given entry for its status and fails
if one of them does not answer.
*/
import type {Result} from 'neverthrow';
import * as z from 'zod';
import {EntryCommand} from '../command/entry-command.js';
import {EXIT_CODE} from '../command/exit-code.js';
import type {EntryError} from '../entry/entry-error.js';
import {renderGrid} from '../format/render-grid.js';

const StatusSchema = z.object({
	host: z.string(),
	instance: z.string(),
	dataCentre: z.string(),
	version: z.string(),
	tableRevision: z.number(),
	platform: z.enum(['up', 'down']),
	shards: z.array(z.object({shard: z.number(), epoch: z.number(), programs: z.number()})),
	openPrograms: z.number(),
	runningCalls: z.number(),
	leaving: z.boolean(),
});

type EntryStatus = {readonly entry: string; readonly response: Result<z.output<typeof StatusSchema>, EntryError>};

const renderStatus = ({entry, response}: EntryStatus): ReadonlyArray<string | number> => {
	if (response.isErr()) {
		return [entry, 'no answer', '', '', '', '', '', '', ''];
	}

	const {value} = response;
	return [
		entry,
		value.host,
		value.dataCentre,
		value.version,
		value.leaving ? 'leaving' : 'live',
		value.platform,
		value.tableRevision,
		value.shards.length,
		`${value.openPrograms} / ${value.runningCalls}`,
	];
};

const toJson = ({entry, response}: EntryStatus): unknown => response.isOk()
	? {entry, ...response.value}
	: {entry, error: response.error};

export class Status extends EntryCommand {
	static override summary = 'Show the state of each given entry.';

	async run(): Promise<unknown> {
		const {flags} = await this.parse(Status);
		const client = await this.connect(flags);
		const statuses = await Promise.all(client.entries.map(async (entry): Promise<EntryStatus> =>
			({entry, response: await client.send(entry, {method: 'GET', path: '/v1/status', schema: StatusSchema})})));
		this.log(renderGrid(
			['entry', 'host', 'data centre', 'version', 'state', 'platform', 'table revision', 'shards', 'open programs / running calls'],
			statuses.map(status => renderStatus(status)),
		));
		const entries = statuses.map(status => toJson(status));
		const silent = statuses.filter(({response}) => response.isErr()).map(({entry}) => entry);
		return silent.length === 0
			? {entries}
			: this.fail({
				code: 'unreachable', message: `No answer from ${silent.join(', ')}. Check that the process is running and the address is correct.`, exitCode: EXIT_CODE.FAILED, details: {entries},
			});
	}
}
