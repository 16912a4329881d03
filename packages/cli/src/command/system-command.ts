/**
Base class of the commands that inspect a system on the platform's machines. They
connect to it with the settings file of any of its machines.
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

/** Adds `--settings`, which is required. */
export abstract class SystemCommand extends BaseCommand {
	static override baseFlags = {
		settings: Flags.string({required: true, env: SETTINGS_VARIABLE, description: 'settings file of any machine of the system'}),
	};

	/** Also asks the processes at `addresses`, in addition to the copy holders. */
	protected async readState(system: System, addresses: readonly string[]): Promise<SystemState> {
		const state = await readSystemState({...system, addresses});
		return state.isOk()
			? state.value
			: this.fail({
				code: 'unreachable', message: `The platform's service does not answer: ${state.error}. The processes continue with the last state that they read. Try again, or read their logs.`, exitCode: EXIT_CODE.FAILED,
			});
	}

	/** Closes the connections once `use` has ended. */
	protected async withSystem<Value>(file: string, use: (system: System) => Promise<Value>): Promise<Value> {
		const opened = await openSystem(file);
		if (opened.isErr()) {
			return this.fail({code: 'settings', message: `${opened.error}\nCheck it with: siskinhub settings check --for machine ${file}`, exitCode: EXIT_CODE.FAILED});
		}

		const system = opened.value;
		try {
			return await use(system);
		} finally {
			await system.close();
		}
	}
}
