/**
What the commands about a system on the platform's machines share: they reach it
by the settings file of any of its machines.
*/
import {Flags} from '@oclif/core';
import {openSystem} from '@siskinhub/new-machines/open-system.js';
import {BaseCommand} from './base-command.js';
import {EXIT_CODE} from './exit-code.js';

type System = Awaited<ReturnType<typeof openSystem>> extends {_unsafeUnwrap: () => infer Opened} ? Opened : never;

/** A command with `--settings`. */
export abstract class SystemCommand extends BaseCommand {
	static override baseFlags = {
		settings: Flags.string({required: true, env: 'SISKINHUB_BOOT', description: 'settings file of any machine of the system'}),
	};

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
