/**
The `bench` command: runs several policies on the same workload, fault and seed,
and prints or plots their metrics.
*/
import {writeFileSync} from 'node:fs';
import process from 'node:process';
import {Command, Flags} from '@oclif/core';
import {drawPrograms} from './plan/draw-programs.js';
import type {FaultName} from './plan/fault-name.js';
import {workloads} from './plan/workloads.js';
import {computeLatencyFloor} from './measure/compute-latency-floor.js';
import {renderSvg} from './report/render-svg.js';
import {renderTable} from './report/render-table.js';
import {runPolicy} from './run-policy.js';
import {policies} from './sim/policies.js';

const FAULTS: readonly FaultName[] = ['none', 'upstream-dead', 'upstream-slow', 'data-centre-cut', 'platform-down', 'crashing-request', 'burst', 'flood'];
const DEFAULT_POLICIES = 'round-robin,least-outstanding,sticky,siskinhub';
const MS_PER_MINUTE = 60_000;

class Bench extends Command {
	static override description = 'Compares scheduling policies on stand-in engines in virtual time.';

	static override flags = {
		workload: Flags.string({options: Object.keys(workloads), default: 'huenchullan', description: 'the deployment and its programs'}),
		policy: Flags.string({default: DEFAULT_POLICIES, description: `comma-separated: ${Object.keys(policies).join(', ')}`}),
		fault: Flags.option({options: FAULTS, default: 'none' as const})({description: 'what goes wrong from a third of the window on'}),
		seed: Flags.integer({default: 1, description: 'the same seed gives the same run'}),
		load: Flags.string({default: '0.8', description: 'offered work over what the engines can do'}),
		minutes: Flags.integer({default: 30, description: 'length of the arrivals in virtual time'}),
		json: Flags.boolean({description: 'prints the figures as JSON'}),
		svg: Flags.string({description: 'writes a plot to this file'}),
	};

	async run(): Promise<void> {
		const {flags} = await this.parse(Bench);
		const names = flags.policy.split(',');
		const unknown = names.find(name => !Object.hasOwn(policies, name));
		const load = Number(flags.load);
		if (unknown !== undefined || !(load > 0)) {
			this.error(unknown === undefined ? '--load must be a number above 0.' : `Unknown policy ${unknown}; choose from ${Object.keys(policies).join(', ')}.`);
		}

		const options = {
			workload: workloads[flags.workload]!, fault: flags.fault, seed: flags.seed, load, windowMs: flags.minutes * MS_PER_MINUTE,
		};
		const plans = drawPrograms(options);
		const runs = names.map(name => runPolicy(name, options, plans));
		const title = `${flags.workload}, fault ${flags.fault}, load ${flags.load}, seed ${flags.seed}, ${flags.minutes} min`;
		const floor = computeLatencyFloor(plans, options);
		if (flags.svg) {
			writeFileSync(flags.svg, renderSvg(title, runs));
		}

		this.log(flags.json ? JSON.stringify({title, floor, runs}, null, 2) : `${title}\n\n${renderTable(runs, floor)}`);
	}
}

await Bench.run(process.argv.slice(2), import.meta.url);
