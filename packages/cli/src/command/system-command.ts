/**
What the commands about a system on the platform's machines share: they reach it
by the settings file of any of its machines.
*/
import {Flags} from '@oclif/core';
import {readSystemState} from '@siskinhub/gateway/inspect/read-system-state.js';
import type {SystemState} from '@siskinhub/gateway/inspect/system-state.js';
import {openSystem} from '@siskinhub/new-machines/open-system.js';
import {SETTINGS_VARIABLE} from '@siskinhub/new-machines/settings-variable.js';
import type {Result} from 'neverthrow';
import {BaseCommand} from './base-command.js';
import {EXIT_CODE} from './exit-code.js';

type System = Awaited<ReturnType<typeof openSystem>> extends Result<infer Opened, string> ? Opened : never;

/** A command with `--settings`. */
export abstract class SystemCommand extends BaseCommand {
	static override baseFlags = {
		settings: Flags.string({required: true, env: SETTINGS_VARIABLE, description: 'settings file of any machine of the system'}),
	};

	/** `addresses` are of processes to ask beside the copy holders. */
	protected async readState(system: System, addresses: readonly string[]): Promise<SystemState> {
		const state = await readSystemState({...system, addresses});
		return state.isOk()
			? state.value
			: this.fail({
				code: 'unreachable', message: `The platform's service does not answer: ${state.error}. The processes go on with what they know; ask again, or read their logs.`, exitCode: EXIT_CODE.FAILED,
			});
	}

	/** Ends the links once `use` is done. */
	protected async withSystem<Value>(file: string, use: (system: System) => Promise<Value>): Promise<Value> {
		const opened = await openSystem(file);
		if (opened.isErr()) {
			return this.fail({code: 'settings', message: `${opened.error}\nCheck it with: siskinhub settings check --for machine ${file}`, exitCode: EXIT_CODE.FAILED});
		}

		const system = opened.value;
		try {
			return await use(system);
		} finally {
			system.close();
		}
	}
}
