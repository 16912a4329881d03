#!/usr/bin/env node
/**
Command line of the proofs: `prove --point NAME --seed N --seconds S`.
*/
import process from 'node:process';
import {
	Command, Flags, flush, handle,
} from '@oclif/core';
import {formatVerdict} from './format-verdict.js';
import {listPoints} from './points/list-points.js';
import {runProof} from './run-proof.js';

const DEFAULT_SECONDS = 20;
const MOST_SEED = 2_147_483_647;

class Prove extends Command {
	static override readonly description = 'Proves points by history checking of concurrent runs under faults.';

	static override readonly flags = {
		help: Flags.help(),
		point: Flags.string({multiple: true, options: listPoints().map(({name}) => name), description: 'point to prove; all without it'}),
		seed: Flags.integer({description: 'seed of clients and faults; drawn anew without it'}),
		seconds: Flags.integer({default: DEFAULT_SECONDS, min: 1, description: 'seconds during which clients begin new turns'}),
		runs: Flags.integer({default: 1, min: 1, description: 'runs of each point, each with the next seed'}),
	};

	async run(): Promise<void> {
		const {flags} = await this.parse(Prove);
		const first = flags.seed ?? Math.floor(Math.random() * MOST_SEED);
		const points = listPoints().filter(({name}) => flags.point?.includes(name) ?? true);
		for (const point of points) {
			for (let run = 0; run < flags.runs; run++) {
				const verdict = await runProof(point, {root: process.cwd(), seed: first + run, seconds: flags.seconds});
				this.log(formatVerdict(verdict));
				process.exitCode = verdict.violations.length > 0 ? 1 : process.exitCode;
			}
		}
	}
}

try {
	await Prove.run(process.argv.slice(2), import.meta.url);
	await flush();
} catch (error) {
	await handle(error as Error);
}
