/**
`siskinhub explain`.
*/
import {createReadStream} from 'node:fs';
import {createInterface} from 'node:readline';
import {Args} from '@oclif/core';
import {ResultAsync} from 'neverthrow';
import {BaseCommand} from '../command/base-command.js';
import {EXIT_CODE} from '../command/exit-code.js';
import {explainCall} from '../logs/explain-call.js';
import type {LogEntry} from '../logs/log-entry.js';
import {showField} from '../logs/show-field.js';
import {parseLogLine} from '../logs/parse-log-line.js';

const CALL_MESSAGE = 'call';

const readMatching = async (file: string, id: string): Promise<LogEntry[]> => {
	const found: LogEntry[] = [];
	for await (const line of createInterface({input: createReadStream(file)})) {
		const entry = line.includes(id) ? parseLogLine(file, line) : undefined;
		if (entry) {
			found.push(entry);
		}
	}

	return found;
};

/** Explains one request, or all requests of a program, from log files. */
export class Explain extends BaseCommand {
	static override summary = 'Tell what became of a request, from the log files of all gateways.';
	static override strict = false;
	static override args = {id: Args.string({required: true, description: 'id of a request or of a program'})};
	static override usage = 'explain ID FILE...';

	async run(): Promise<unknown> {
		const {args, argv} = await this.parse(Explain);
		const files = argv.map(String).filter(argument => argument !== args.id);
		if (files.length === 0) {
			return this.fail({code: 'usage', message: 'Name the log files: siskinhub explain ID FILE...', exitCode: EXIT_CODE.USAGE});
		}

		const read = await Promise.all(files.map(async file => this.read(file, args.id)));
		const lines = read.flat().toSorted((a, b) => a.time.localeCompare(b.time));
		if (lines.length === 0) {
			return this.fail({
				code: 'unknown-request', message: `No line of ${files.length} file(s) names ${args.id}. It reached no gateway whose log is here, or its gateway was killed before the end, or it was answered in time and its line left out under load (see lines "calls left out").`, exitCode: EXIT_CODE.FAILED,
			});
		}

		for (const entry of lines) {
			this.log(`${entry.time} ${entry.host} ${entry.msg} ${showField(entry.fields.requestId ?? '')}`);
			for (const sentence of entry.msg === CALL_MESSAGE ? explainCall(entry) : []) {
				this.log(`  ${sentence}`);
			}
		}

		return {id: args.id, lines};
	}

	private async read(file: string, id: string): Promise<LogEntry[]> {
		const found = await ResultAsync.fromPromise(readMatching(file, id), error => (error as NodeJS.ErrnoException).code ?? String(error));
		return found.isOk()
			? found.value
			: this.fail({code: 'usage', message: `${file} cannot be read: ${found.error}. Name log files of the daemons.`, exitCode: EXIT_CODE.FAILED});
	}
}
