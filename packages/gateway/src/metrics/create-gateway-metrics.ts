/**
Implements the metrics with prom-client. Label values come from small fixed sets,
so that the number of time series stays bounded.
*/
import {
	Counter, Gauge, Histogram, Registry,
} from 'prom-client';
import {createWorkspaceCounts} from './create-workspace-counts.js';
import type {GatewayMetrics} from './gateway-metrics.js';

const LATENCY_BUCKETS_MS = [5, 10, 25, 50, 100, 250, 500, 1000, 2500, 5000, 10_000];

/** Each call creates a separate registry. */
export const createGatewayMetrics = (): GatewayMetrics => {
	const registers = [new Registry()];
	const calls = new Counter({
		name: 'siskinhub_calls_total', help: 'Requests of callers by outcome and status.', labelNames: ['outcome', 'status'], registers,
	});
	let listNamed: () => ReadonlySet<string> = () => new Set();
	const workspaceCounts = createWorkspaceCounts(() => listNamed());
	const workspaceCalls = new Counter<'workspace' | 'outcome'>({
		name: 'siskinhub_workspace_calls_total', help: 'Requests of callers by workspace and outcome; those of all but the largest workspaces together.', labelNames: ['workspace', 'outcome'], registers, collect() {
			workspaceCalls.reset();
			for (const {count, ...labels} of workspaceCounts.list()) {
				workspaceCalls.inc(labels, count);
			}
		},
	});
	const durations = new Histogram({
		name: 'siskinhub_call_duration_ms', help: 'Milliseconds from a request to the end of its answer.', labelNames: ['outcome'], buckets: LATENCY_BUCKETS_MS, registers,
	});
	const cuts = new Counter({
		name: 'siskinhub_cut_calls_total', help: 'Requests that the end of the process cut, by what they waited for.', labelNames: ['phase'], registers,
	});
	const attempts = new Counter({
		name: 'siskinhub_attempts_total', help: 'Requests sent to upstreams by how they ended.', labelNames: ['end'], registers,
	});
	const choices = new Counter({
		name: 'siskinhub_choices_total', help: 'Upstreams chosen, by whether they are in the own data centre and whether failures of late counted against them.', labelNames: ['data_centre', 'punished'], registers,
	});
	const promptTokens = new Counter({
		name: 'siskinhub_prompt_tokens_total', help: 'Tokens of prompts by whether the chosen upstream is believed to hold them.', labelNames: ['part'], registers,
	});
	const preparations = new Histogram({
		name: 'siskinhub_preparation_ms', help: 'Milliseconds from a request until tokens are reserved and earlier turns read, or it is refused for lack of them.', labelNames: ['outcome'], buckets: LATENCY_BUCKETS_MS, registers,
	});
	const storeCalls = new Counter({
		name: 'siskinhub_platform_calls_total', help: 'Calls to the platform\'s service by kind and outcome.', labelNames: ['kind', 'outcome'], registers,
	});
	const limitedCalls = new Counter({
		name: 'siskinhub_limited_calls_total', help: 'Requests to upstreams that name a limit, by upstream and whether they were sent or withheld.', labelNames: ['upstream', 'outcome'], registers,
	});
	const quotaCalls = new Counter({
		name: 'siskinhub_quota_calls_total', help: 'Requests to upstreams that the quota of their workspace granted or refused, by workspace and why.', labelNames: ['workspace', 'outcome'], registers,
	});
	const crashes = new Counter({
		name: 'siskinhub_crash_notes_total', help: 'Requests that broke off at an upstream, by whether this process saw it or another passed it on.', labelNames: ['source'], registers,
	});
	const blocked = new Counter({
		name: 'siskinhub_blocked_calls_total', help: 'Requests that were sent to no upstream because they crashed several.', registers,
	});
	const resumptions = new Counter({
		name: 'siskinhub_resumptions_total', help: 'Streams that callers take up again, by whether the software that began them is known and, of a kept turn, the events before.', labelNames: ['outcome'], registers,
	});
	const leaving = new Counter({
		name: 'siskinhub_leaving_upstreams_total', help: 'Starts of upstreams that said in an answer that they are leaving.', registers,
	});
	const gaps = new Counter({
		name: 'siskinhub_copy_gaps_total', help: 'Writes to a disk that lacked data in use and was sent it, by what it lacked.', labelNames: ['data'], registers,
	});
	const copyRequests = new Counter({
		name: 'siskinhub_copy_requests_total', help: 'Requests that a copy holder answered, by what they were for.', labelNames: ['kind'], registers,
	});
	const signals = new Counter({
		name: 'siskinhub_signals_total', help: 'Control signals by the phase of the process in which they came.', labelNames: ['signal', 'phase'], registers,
	});
	const uncaughtErrors = new Counter({
		name: 'siskinhub_uncaught_errors_total', help: 'Errors that nobody caught and that end the process, by its phase.', labelNames: ['phase'], registers,
	});
	const excesses = new Counter({
		name: 'siskinhub_answer_excess_total', help: 'Answers of upstreams with more than one answer may have, by what it was.', labelNames: ['kind'], registers,
	});
	return {
		countCall(outcome, status, durationMs, workspace) {
			calls.inc({outcome, status: String(status)});
			durations.observe({outcome}, durationMs);
			if (workspace !== undefined) {
				workspaceCounts.add(workspace, outcome);
			}
		},
		nameWorkspaces(list) {
			listNamed = list;
		},
		countCut(phase) {
			cuts.inc({phase});
		},
		countAttempt(end) {
			attempts.inc({end});
		},
		countCrash(source) {
			crashes.inc({source});
		},
		countBlocked() {
			blocked.inc();
		},
		countLeaving() {
			leaving.inc();
		},
		countResumption(outcome) {
			resumptions.inc({outcome});
		},
		countGap(data) {
			gaps.inc({data});
		},
		countCopyRequest(kind) {
			copyRequests.inc({kind});
		},
		countSignal(signal, phase) {
			signals.inc({signal, phase});
		},
		countUncaughtError(phase) {
			uncaughtErrors.inc({phase});
		},
		countExcess(kind) {
			excesses.inc({kind});
		},
		countStoreCall(kind, outcome) {
			storeCalls.inc({kind, outcome});
		},
		countChoice({isNear, penaltyMs}, prompt) {
			choices.inc({data_centre: isNear ? 'own' : 'other', punished: penaltyMs >= 1 ? 'yes' : 'no'});
			if (prompt) {
				promptTokens.inc({part: 'held'}, prompt.held);
				promptTokens.inc({part: 'missing'}, prompt.missing);
			}
		},
		observePreparation(outcome, waitMs) {
			preparations.observe({outcome}, waitMs);
		},
		countLimited(upstream, outcome) {
			limitedCalls.inc({upstream, outcome});
		},
		forgetLimited(upstream) {
			limitedCalls.remove({upstream, outcome: 'sent'});
			limitedCalls.remove({upstream, outcome: 'withheld'});
		},
		countQuota(workspace, outcome) {
			quotaCalls.inc({workspace, outcome});
		},
		addQuotas(read) {
			const gauge: Gauge = new Gauge({
				name: 'siskinhub_quota_window', help: 'Requests of a workspace that count at this issuer of grants now, and how many may.', labelNames: ['workspace', 'part'], registers, collect() {
					gauge.reset();
					for (const {workspace, counted, room} of read()) {
						gauge.set({workspace, part: 'counted'}, counted);
						gauge.set({workspace, part: 'room'}, room);
					}
				},
			});
		},
		addLimits(read) {
			const gauge: Gauge = new Gauge({
				name: 'siskinhub_upstream_limit', help: 'Requests a second that an upstream says it takes from all processes together.', labelNames: ['upstream'], registers, collect() {
					gauge.reset();
					for (const {upstream, perSecond} of read()) {
						gauge.set({upstream}, perSecond);
					}
				},
			});
		},
		addGauge(name, help, read) {
			const gauge: Gauge = new Gauge({
				name, help, registers, collect() {
					gauge.set(read());
				},
			});
		},
		addCounter(name, help, label, read) {
			const counter: Counter = new Counter({
				name, help, labelNames: [label], registers, collect() {
					counter.reset();
					for (const [value, count] of Object.entries(read())) {
						counter.inc({[label]: value}, count);
					}
				},
			});
		},
		render: async () => registers[0]!.metrics(),
	};
};
