/**
The `siskinhub explain` command: finds the lines of a request, or of all requests
of a program, in log files and prints them by time, with an explanation of each
call.
*/
import {createReadStream} from 'node:fs';
import {createInterface} from 'node:readline';
import {Args} from '@oclif/core';
import {ResultAsync} from 'neverthrow';
import {BaseCommand} from '../command/base-command.js';
import {EXIT_CODE} from '../command/exit-code.js';
import {explainCall} from '../logs/explain-call.js';
import type {LogLine} from '../logs/log-line.js';
import {formatField} from '../logs/format-field.js';
import {parseLogLine} from '../logs/parse-log-line.js';

const CALL_MESSAGE = 'call';

const readMatching = async (file: string, id: string): Promise<LogLine[]> => {
	const found: LogLine[] = [];
	for await (const line of createInterface({input: createReadStream(file)})) {
		const entry = line.includes(id) ? parseLogLine(file, line) : undefined;
		if (entry) {
			found.push(entry);
		}
	}

	return found;
};

export class Explain extends BaseCommand {
	static override summary = 'Explain what happened to a request, from the log files of all gateways.';
	static override strict = false;
	static override args = {id: Args.string({required: true, description: 'id of a request or of a program'})};
	static override usage = 'explain ID FILE...';

	async run(): Promise<unknown> {
		const {args, argv} = await this.parse(Explain);
		const files = argv.map(String).filter(argument => argument !== args.id);
		if (files.length === 0) {
			return this.fail({code: 'usage', message: 'No log file was given. Usage: siskinhub explain ID FILE...', exitCode: EXIT_CODE.USAGE});
		}

		const read = await Promise.all(files.map(async file => this.read(file, args.id)));
		const lines = read.flat().toSorted((a, b) => a.time.localeCompare(b.time));
		if (lines.length === 0) {
			return this.fail({
				code: 'unknown-request', message: `No line in ${files.length} file(s) mentions ${args.id}. It did not reach a gateway whose log was given, or its gateway was killed before it ended, or it was answered in time and its line was left out under load (see the lines "calls left out").`, exitCode: EXIT_CODE.FAILED,
			});
		}

		for (const entry of lines) {
			this.log(`${entry.time} ${entry.host} ${entry.msg} ${formatField(entry.fields.requestId ?? '')}`);
			for (const sentence of entry.msg === CALL_MESSAGE ? explainCall(entry) : []) {
				this.log(`  ${sentence}`);
			}
		}

		return {id: args.id, lines};
	}

	private async read(file: string, id: string): Promise<LogLine[]> {
		const found = await ResultAsync.fromPromise(readMatching(file, id), error => (error as NodeJS.ErrnoException).code ?? String(error));
		return found.isOk()
			? found.value
			: this.fail({code: 'usage', message: `${file} cannot be read: ${found.error}. Pass log files of the daemons.`, exitCode: EXIT_CODE.FAILED});
	}
}
