/**
Determines the entries that a command connects to and the operator's name, from
flags, settings file and environment.
*/
import {userInfo} from 'node:os';
import {err, ok, type Result} from 'neverthrow';
import {CliSettingsSchema} from '@siskinhub/settings/cli-settings-schema.js';
import {formatConfigError} from '@siskinhub/settings/format-config-error.js';
import {loadConfigFromFile} from '@siskinhub/settings/load-config-from-file.js';
import {isHttpAddress} from '@siskinhub/settings/schema/is-http-address.js';
import type {CommandFailure} from './command-failure.js';
import {EXIT_CODE} from './exit-code.js';

type ConnectionFlags = {
	readonly entry?: string;
	readonly settings?: string;
	readonly operator?: string;
};

type Environment = Readonly<Record<string, string | undefined>>;

type Connection = {readonly entries: readonly string[]; readonly operator: string};

const OPERATOR_PATTERN = /^[\w.@+\-]{1,64}$/v;

const failUsage = (message: string): Result<never, CommandFailure> => err({code: 'usage', message, exitCode: EXIT_CODE.USAGE});

const splitList = (text: string | undefined): readonly string[] | undefined => text?.split(',').map(item => item.trim()).filter(Boolean);

const checkConnection = (entries: readonly string[], operator: string): Result<Connection, CommandFailure> => {
	if (entries.length === 0) {
		return failUsage('No entry is configured. Pass --entry http://IP:PORT or --settings FILE, or set SISKINHUB_ENTRY.');
	}

	const wrong = entries.find(entry => !isHttpAddress(entry));
	if (wrong !== undefined) {
		return failUsage(`"${wrong}" is not an entry address. Expected http://IP:PORT with an IP address, such as http://10.1.0.11:7000.`);
	}

	return OPERATOR_PATTERN.test(operator)
		? ok({entries, operator})
		: failUsage(`"${operator}" is not a valid operator name. Pass --operator NAME with 1 to 64 unaccented letters, digits or . _ - + @.`);
};

const readSettings = async (file: string | undefined): Promise<Result<Partial<Connection>, CommandFailure>> => {
	if (file === undefined) {
		return ok({});
	}

	const settings = await loadConfigFromFile(file, CliSettingsSchema);
	return settings.mapErr(errors => ({
		code: 'settings', message: errors.map(error => formatConfigError(error)).join('\n'), exitCode: EXIT_CODE.USAGE, details: {faults: errors},
	}));
};

/** Flags take precedence over the settings file, and the file over the environment. */
export const resolveConnection = async (flags: ConnectionFlags, env: Environment): Promise<Result<Connection, CommandFailure>> => {
	const settings = await readSettings(flags.settings);
	if (settings.isErr()) {
		return err(settings.error);
	}

	const entries = splitList(flags.entry) ?? settings.value.entries ?? splitList(env.SISKINHUB_ENTRY) ?? [];
	const operator = flags.operator ?? settings.value.operator ?? env.SISKINHUB_OPERATOR ?? userInfo().username;
	return checkConnection(entries.map(entry => entry.replace(/\/$/v, '')), operator);
};
