/**
Flags that say which entry a command talks to, and as whom.
*/
import {Flags} from '@oclif/core';

/** Flags of every command that talks to an entry. */
export const CONNECTION_FLAGS = {
	entry: Flags.string({
		helpValue: 'http://IP:PORT',
		description: 'entry to talk to; several are tried in their order, separated by commas (or set SISKINHUB_ENTRY)',
		helpGroup: 'CONNECTION',
	}),
	settings: Flags.string({
		helpValue: 'FILE',
		description: 'settings file with `entries` and `operator`',
		helpGroup: 'CONNECTION',
	}),
	operator: Flags.string({
		helpValue: 'NAME',
		description: 'name that the history records (default: the settings file, SISKINHUB_OPERATOR, or your user name)',
		helpGroup: 'CONNECTION',
	}),
};
