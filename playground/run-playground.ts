/**
Runs the agent program on a running deployment, then prints a timeline of its calls
and the results of the checks.
*/
import {addTableRows} from '@siskinhub/standins/cluster/add-table-rows.js';
import type {Deployment} from '@siskinhub/standins/cluster/deployment.js';
import {createAgentClient} from './agent/create-agent-client.js';
import {diagnoseBlind} from './agent/diagnose-blind.js';
import {checkEngineMemory} from './check-engine-memory.js';
import {checkGuarantees} from './check-guarantees.js';
import {formatTimeline} from './timeline/format-timeline.js';
import {parseHops} from './timeline/parse-hops.js';
import type {TimelineStep} from './timeline/timeline-step.js';

const ROWS = {
	'deployment/repair': {weight: 1},
	'kind/diagnosis': {turns: 20},
	'kind/parts-lookup': {turns: 5},
	'workspace/zamalek': {budget: 100_000, concurrency: 8},
};

const describeTable = (revision: number | undefined): string => revision === undefined
	? 'These entries serve no operators\' table; no row limits apply.'
	: `The operators' table has ${Object.keys(ROWS).length} rows at revision ${revision}.`;

/** Stops the deployment gracefully. Resolves with whether every check passed; rejects if a request of the program was refused. */
export const runPlayground = async (deployment: Deployment, print: (text: string) => void): Promise<boolean> => {
	print(describeTable(await addTableRows(deployment, ROWS)));
	const steps: TimelineStep[] = [];
	const onStep = (step: TimelineStep): void => {
		steps.push(step);
	};

	const client = createAgentClient({workspace: 'zamalek', entries: deployment.entries, onStep});
	const report = await diagnoseBlind({
		client, model: 'repair-agents', service: 'booking-core', onStep,
	});
	const checks = await checkGuarantees(deployment, client, report);
	await client.endProgram('end the program', report.program);
	checks.push(await checkEngineMemory(deployment));
	// The processes write their last spans to the logs when they stop.
	const {unclean} = await deployment.stop();
	checks.push({name: 'every process stopped by itself with exit code 0', isMet: unclean.length === 0, detail: unclean.length === 0 ? `${deployment.processes.size} processes` : unclean.join(', ')});

	const hops = Array.from(deployment.processes.keys(), name => parseHops(deployment.readLog(name))).flat();
	print(`\nThe program's steps, and below each the hops of its call (start, process, hop, duration):\n\n${formatTimeline(steps, hops)}\n`);
	for (const {name, isMet, detail} of checks) {
		print(`${isMet ? 'ok    ' : 'FAILED'}  ${name} (${detail})`);
	}

	return checks.every(({isMet}) => isMet);
};
