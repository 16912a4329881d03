#!/usr/bin/env node
/**
Measures what the daemons cost as their load grows and prints each series with a
line fitted through each column. `npm run capacity` runs all experiments,
`npm run capacity -- --only NAME[,NAME]` some of them.

With `--serve-messages LINK_PORT,UNARY_PORT` the process is the server of the
`messages` experiment, which starts it.
*/
import path from 'node:path';
import process from 'node:process';
import {parseArgs} from 'node:util';
import {measureAddedCost} from './capacity/experiments/measure-added-cost.js';
import {measureHistory} from './capacity/experiments/measure-history.js';
import {measureHosts} from './capacity/experiments/measure-hosts.js';
import {measureLinks} from './capacity/experiments/measure-links.js';
import {measureMessages} from './capacity/experiments/measure-messages.js';
import {measurePrograms} from './capacity/experiments/measure-programs.js';
import {measureRequests} from './capacity/experiments/measure-requests.js';
import {measureIdleDaemons} from './capacity/experiments/measure-idle-daemons.js';
import {measureShards} from './capacity/experiments/measure-shards.js';
import {measureTable} from './capacity/experiments/measure-table.js';
import {measureTokens} from './capacity/experiments/measure-tokens.js';
import {measureTurns} from './capacity/experiments/measure-turns.js';
import {serveMessages} from './capacity/messages/serve-messages.js';
import {formatSeries} from './capacity/report/format-series.js';
import type {Series} from './capacity/report/series.js';

const MS_PER_S = 1000;

/** Experiments by the name that `--only` takes, in the order in which they run. */
const EXPERIMENTS: Readonly<Record<string, (root: string) => Promise<Series[]>>> = {
	rest: measureIdleDaemons,
	messages: measureMessages,
	requests: measureRequests,
	tokens: measureTokens,
	added: measureAddedCost,
	programs: measurePrograms,
	turns: measureTurns,
	history: measureHistory,
	links: measureLinks,
	hosts: measureHosts,
	shards: measureShards,
	table: measureTable,
};

const print = (text: string): void => {
	process.stdout.write(`${text}\n\n`);
};

const runExperiments = async (selected: readonly string[] | undefined): Promise<void> => {
	const root = path.resolve(import.meta.dirname, '../../..');
	for (const [name, experiment] of Object.entries(EXPERIMENTS)) {
		if (selected?.includes(name) ?? true) {
			const startedAt = performance.now();
			try {
				for (const series of await experiment(root)) {
					print(formatSeries(series));
				}
			} catch (error) {
				process.exitCode = 1;
				print(`## ${name}: FAILED\n${String(error)}`);
			}

			print(`(${name} took ${Math.round((performance.now() - startedAt) / MS_PER_S)} s)`);
		}
	}
};

const {values} = parseArgs({options: {only: {type: 'string'}, 'serve-messages': {type: 'string'}}});
const unknown = values.only?.split(',').filter(name => !(name in EXPERIMENTS)) ?? [];
if (values['serve-messages'] !== undefined) {
	const [linkPort = 0, unaryPort = 0] = values['serve-messages'].split(',').map(Number);
	await serveMessages(linkPort, unaryPort);
} else if (unknown.length > 0) {
	process.stderr.write(`capacity: ${unknown.join(', ')} is not an experiment; choose from ${Object.keys(EXPERIMENTS).join(', ')}\n`);
	process.exitCode = 2;
} else {
	await runExperiments(values.only?.split(','));
	process.exit();
}
