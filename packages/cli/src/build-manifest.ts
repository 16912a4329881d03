/**
Builds the manifest that oclif otherwise reads from `package.json`, so that the
bundle needs no other file.
*/
import type {Interfaces} from '@oclif/core';
import manifest from '../package.json' with {type: 'json'};

/** `target` is the file, relative to the root, that exports `COMMANDS`. */
export const buildManifest = (target: string): Interfaces.PJSON => ({
	name: 'siskinhub',
	version: manifest.version,
	type: 'module',
	description: 'Operate siskinhub, a scheduler for agent programs.',
	oclif: {
		bin: 'siskinhub',
		topicSeparator: ' ',
		commands: {strategy: 'explicit', target, identifier: 'COMMANDS'},
		topics: {
			program: {description: 'Look at programs and end them.'},
			settings: {description: 'Check settings files.'},
			system: {description: 'Look at a system on the platform\'s machines.'},
			table: {description: 'Read and edit the table of weights, budgets and limits.'},
			upstream: {description: 'Look at upstreams and drain them.'},
		},
	},
});
