/**
The attempts of one request at upstreams, one after the other.
*/
import type {AttemptResult} from './attempt-result.js';
import type {CallerAnswer} from './caller-answer.js';
import type {CallPlan} from './call-plan.js';
import {chooseUpstreamForCall} from './choose-upstream-for-call.js';
import {computeFingerprint} from './compute-fingerprint.js';
import type {GatewayContext} from './gateway-context.js';
import {runAttempt} from './run-attempt.js';
import type {StreamProgress} from './stream-progress.js';

const DEFAULT_PRIORITY = 4;
const LEAST_URGENT_PRIORITY = 9;

type AttemptRunnerOptions = {
	readonly plan: CallPlan;
	readonly response: CallerAnswer;
	readonly progress: StreamProgress;
	readonly completeTurn: () => Promise<boolean>;
};

const describeResult = (end: AttemptResult): string => 'message' in end ? `${end.kind}: ${end.message}` : end.kind;

/** Counts what ran; no upstream is tried twice. */
export const createAttemptRunner = (context: GatewayContext, {plan, response: answer, progress, completeTurn: beforeEnd}: AttemptRunnerOptions) => {
	const {directory, loads, pools, codec, metrics, crashes} = context;
	const {call, route, service} = plan;
	const excluded = new Set<string>();
	const trail: string[] = [];
	let runs = 0;
	let refusals = 0;
	let fingerprint: string | undefined;

	const getFingerprint = (): string => {
		fingerprint ??= computeFingerprint(call, plan.body);
		return fingerprint;
	};

	const isDangerous = (): boolean => !crashes.isEmpty() && crashes.isDangerous(getFingerprint());

	return {
		trail,
		runs: () => runs,
		/** Upstreams that had no room; `Infinity` once no upstream is left for it. */
		refusals: () => !isDangerous() && directory.list(service).some(({id}) => !excluded.has(id)) ? refusals : Infinity,
		async next(): Promise<AttemptResult> {
			if (isDangerous()) {
				return {kind: 'not-run', isFull: true, message: 'it broke off at each upstream that ran it'};
			}

			const chosen = chooseUpstreamForCall(context, plan, excluded);
			if (!chosen) {
				return {kind: 'not-run', isFull: true, message: 'no upstream is left'};
			}

			const {upstream, heldTokens} = chosen;
			metrics.countChoice(chosen, call.prompt && {held: heldTokens, missing: Math.max(0, call.prompt.promptTokens - heldTokens)});
			const activeCall = loads.beginCall(upstream, call);
			const end = await runAttempt({
				plan,
				upstream,
				pool: pools.get(upstream),
				codec,
				response: answer,
				progress,
				priority: call.prompt && Math.min(LEAST_URGENT_PRIORITY, DEFAULT_PRIORITY + route.rank),
				completeTurn: beforeEnd,
				onAnswered: activeCall.markAnswered,
			});
			const isUpstreamOk = end.kind === 'done' || end.kind === 'gone';
			activeCall.end(isUpstreamOk ? 'done' : (end.kind === 'not-run' && end.isFull ? 'full' : 'failed'));
			metrics.countAttempt(end.kind);
			trail.push(`${upstream.id} ${describeResult(end)}`);
			excluded.add(upstream.id);
			if ((end.kind === 'unknown' || end.kind === 'broken') && end.isConnectionLost) {
				crashes.record(getFingerprint(), `${upstream.id} ${upstream.bornAtMs}`);
			}

			if (end.kind === 'not-run') {
				refusals += end.isFull ? 1 : 0;
			} else {
				runs++;
			}

			return end;
		},
	};
};
