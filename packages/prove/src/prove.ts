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
import type {ProofVerdict} from './proof-verdict.js';
import {runProof} from './run-proof.js';
import {summarizeSoak} from './summarize-soak.js';

const DEFAULT_SECONDS = 20;
const MS_PER_MINUTE = 60_000;
const MAX_SEED = 2_147_483_647;

class Prove extends Command {
	static override readonly description = 'Tests proof points by checking the recorded history of concurrent runs under faults.';

	static override readonly flags = {
		help: Flags.help(),
		point: Flags.string({multiple: true, options: listPoints().map(({name}) => name), description: 'point to prove; all points by default'}),
		seed: Flags.integer({description: 'seed of clients and faults; random by default'}),
		seconds: Flags.integer({default: DEFAULT_SECONDS, min: 1, description: 'seconds during which clients begin new turns'}),
		keep: Flags.boolean({description: 'keep logs and records even if no violation was found'}),
		runs: Flags.integer({default: 1, min: 1, description: 'number of runs of each point, each with the next seed'}),
		minutes: Flags.integer({min: 1, description: 'continue with the next seeds for this many minutes'}),
	};

	async run(): Promise<void> {
		const {flags: {seed, seconds, point: names, runs, minutes, keep}} = await this.parse(Prove);
		const firstSeed = seed ?? Math.floor(Math.random() * MAX_SEED);
		const endsAt = Date.now() + ((minutes ?? 0) * MS_PER_MINUTE);
		const points = listPoints().filter(({name}) => names?.includes(name) ?? true);
		const verdicts: ProofVerdict[] = [];
		for (let run = 0; run < runs || Date.now() < endsAt; run++) {
			for (const point of points) {
				if (run >= runs && Date.now() >= endsAt) {
					break;
				}

				const verdict = await runProof(point, {
					root: process.cwd(), seed: firstSeed + run, seconds, shouldKeepLogs: keep,
				});
				verdicts.push(verdict);
				this.log(formatVerdict(verdict));
			}
		}

		if (verdicts.length > 1) {
			this.log(`\n${summarizeSoak(verdicts)}`);
		}

		process.exitCode = verdicts.some(({violations}) => violations.length > 0) ? 1 : 0;
	}
}

for (const signal of ['SIGINT', 'SIGTERM'] as const) {
	process.once(signal, () => {
		process.exit(1);
	});
}

try {
	await Prove.run(process.argv.slice(2), import.meta.url);
	await flush();
} catch (error) {
	await handle(error as Error);
}
