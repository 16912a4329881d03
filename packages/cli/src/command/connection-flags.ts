/**
Flags of every command that connects to an entry: the addresses to use and the
operator's name.
*/
import {Flags} from '@oclif/core';

export const CONNECTION_FLAGS = {
	entry: Flags.string({
		helpValue: 'http://IP:PORT',
		description: 'entry to connect to; several, separated by commas, are tried in order (or set SISKINHUB_ENTRY)',
		helpGroup: 'CONNECTION',
	}),
	settings: Flags.string({
		helpValue: 'FILE',
		description: 'settings file with `entries` and `operator`',
		helpGroup: 'CONNECTION',
	}),
	operator: Flags.string({
		helpValue: 'NAME',
		description: 'name recorded in the history (default: the settings file, SISKINHUB_OPERATOR, or your user name)',
		helpGroup: 'CONNECTION',
	}),
};
