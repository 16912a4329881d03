/**
Handles the command line that the daemons share: `--help`, `--version` and
`--settings FILE`.
*/
import process from 'node:process';
import {parseArgs} from 'node:util';
import type * as z from 'zod';
import {formatConfigError} from './format-config-error.js';
import {loadConfigFromFile} from './load-config-from-file.js';

const EXIT_CODE_USAGE = 2;
const EXIT_CODE_SETTINGS = 78;
const EXIT_CODE_START = 1;

type Daemon<Schema extends z.ZodType> = {
	readonly name: string;
	readonly version: string;
	readonly summary: string;
	readonly schema: Schema;
	/** Starts the daemon; rejects if it could not start. */
	readonly start: (settings: z.output<Schema>) => Promise<void>;
};

const fail = (message: string, exitCode: number) => {
	process.stderr.write(`${message}\n`);
	process.exitCode = exitCode;
};

const formatHelp = (name: string, version: string, summary: string): string => [
	`${name} ${version}`,
	summary,
	'',
	`Usage: ${name} --settings FILE`,
	'',
	'  --settings FILE  the settings file, in YAML; docs/reference/settings.md lists its keys',
	'  --version        print the version',
	'  --help           print this text',
	'',
].join('\n');

const readArguments = (name: string) => {
	try {
		return parseArgs({
			options: {
				help: {type: 'boolean', short: 'h'},
				version: {type: 'boolean'},
				settings: {type: 'string'},
			},
		}).values;
	} catch (error) {
		fail(`${name}: ${error instanceof Error ? error.message : String(error)}; see ${name} --help`, EXIT_CODE_USAGE);
		return undefined;
	}
};

/** Reads the command line and the settings file, then starts the daemon. On errors it prints one line for each and sets a non-zero exit code. */
export const startFromCommandLine = async <Schema extends z.ZodType>(daemon: Daemon<Schema>): Promise<void> => {
	const {name, version, summary} = daemon;
	const values = readArguments(name);
	if (!values) {
		return;
	}

	if (values.help) {
		process.stdout.write(formatHelp(name, version, summary));
		return;
	}

	if (values.version) {
		process.stdout.write(`${version}\n`);
		return;
	}

	if (values.settings === undefined) {
		fail(`${name}: --settings FILE is missing; see ${name} --help`, EXIT_CODE_USAGE);
		return;
	}

	const settings = await loadConfigFromFile(values.settings, daemon.schema);
	if (settings.isErr()) {
		fail(settings.error.map(error => formatConfigError(error)).join('\n'), EXIT_CODE_SETTINGS);
		return;
	}

	try {
		await daemon.start(settings.value);
	} catch (error) {
		fail(`${name}: could not start: ${error instanceof Error ? error.message : String(error)}`, EXIT_CODE_START);
	}
};
