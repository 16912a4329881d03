/**
The `siskinhub settings check` command: validates a settings file against the
schema of the binary that it is for.
*/
import {readFile} from 'node:fs/promises';
import {Args, Flags} from '@oclif/core';
import {CliSettingsSchema} from '@siskinhub/settings/cli-settings-schema.js';
import {EntrySettingsSchema} from '@siskinhub/settings/entry-settings-schema.js';
import {formatConfigError} from '@siskinhub/settings/format-config-error.js';
import {GatewaySettingsSchema} from '@siskinhub/settings/gateway-settings-schema.js';
import {parseConfig} from '@siskinhub/settings/parse-config.js';
import {SidecarSettingsSchema} from '@siskinhub/settings/sidecar-settings-schema.js';
import {HostSettingsSchema} from '@siskinhub/new-machines/host-settings-schema.js';
import {ResultAsync} from 'neverthrow';
import {BaseCommand} from '../command/base-command.js';
import {EXIT_CODE} from '../command/exit-code.js';
import {detectSettingsKind} from '../settings/detect-settings-kind.js';
import type {SettingsKind} from '../settings/settings-kind.js';

const SCHEMAS = {
	entry: {schema: EntrySettingsSchema, binary: 'siskinhub-entry'},
	sidecar: {schema: SidecarSettingsSchema, binary: 'siskinhub-sidecar'},
	command: {schema: CliSettingsSchema, binary: 'siskinhub'},
	gateway: {schema: GatewaySettingsSchema, binary: 'siskinhub-gateway'},
	machine: {schema: HostSettingsSchema, binary: 'siskinhub-gateway and siskinhub-holder'},
} as const;

export class SettingsCheck extends BaseCommand {
	static override summary = 'Check a settings file and print every fault with its line.';
	static override args = {file: Args.string({required: true, description: 'YAML file with settings'})};
	static override flags = {
		for: Flags.option({options: ['entry', 'sidecar', 'command', 'machine', 'gateway'] as const, description: 'which binary the file is for (default: detected from its keys)'})(),
	};

	async run(): Promise<unknown> {
		const {args, flags} = await this.parse(SettingsCheck);
		const text = await this.read(args.file);
		const kind = flags.for ?? detectSettingsKind(text) ?? this.failKind(args.file);
		const {schema, binary} = SCHEMAS[kind];
		const errors = parseConfig(args.file, text, schema).match(() => [], found => found);
		if (errors.length > 0) {
			return this.fail({
				code: 'settings', message: errors.map(error => formatConfigError(error)).join('\n'), exitCode: EXIT_CODE.FAILED, details: {faults: errors},
			});
		}

		this.log(`${args.file}: no faults (settings of ${binary})`);
		return {file: args.file, kind, faults: errors};
	}

	private async read(file: string): Promise<string> {
		const text = await ResultAsync.fromPromise(readFile(file, 'utf8'), error => (error as NodeJS.ErrnoException).code ?? 'an error');
		return text.isOk()
			? text.value
			: this.fail({
				code: 'settings', message: formatConfigError({
					file, key: '', expected: 'a settings file that can be read', found: text.error,
				}), exitCode: EXIT_CODE.FAILED,
			});
	}

	private failKind(file: string): SettingsKind {
		return this.fail({code: 'usage', message: `Cannot tell which binary ${file} is for. Add --for entry, --for sidecar, --for command, --for machine or --for gateway.`, exitCode: EXIT_CODE.USAGE});
	}
}
