/**
Runs the attempts of one request, one upstream after the other, and counts runs
and refusals.
*/
import type {AttemptResult} from './attempt-result.js';
import type {CallerResponse} from './caller-response.js';
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
	readonly response: CallerResponse;
	readonly progress: StreamProgress;
	readonly completeTurn: () => Promise<boolean>;
};

const describeResult = (result: AttemptResult): string => 'message' in result ? `${result.kind}: ${result.message}` : result.kind;

/** Tries no upstream twice. `completeTurn` stores the turn before the response ends. */
export const createAttemptRunner = (context: GatewayContext, {plan, response, progress, completeTurn}: AttemptRunnerOptions) => {
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
		/** Upstreams that may have run the request. */
		runs: () => runs,
		/** Upstreams that had no capacity; `Infinity` once none may be tried any more. */
		refusals: () => !isDangerous() && directory.list(service).some(({id}) => !excluded.has(id)) ? refusals : Infinity,
		async next(): Promise<AttemptResult> {
			if (isDangerous()) {
				return {kind: 'not-run', isFull: true, message: 'too many upstreams lost their connection while they ran the request'};
			}

			const chosen = chooseUpstreamForCall(context, plan, excluded);
			if (!chosen) {
				return {kind: 'not-run', isFull: true, message: 'no upstream is left to try'};
			}

			const {upstream, heldTokens} = chosen;
			metrics.countChoice(chosen, call.prompt && {held: heldTokens, missing: Math.max(0, call.prompt.promptTokens - heldTokens)});
			const activeCall = loads.beginCall(upstream, call);
			const result = await runAttempt({
				plan,
				upstream,
				pool: pools.get(upstream),
				codec,
				response,
				progress,
				priority: call.prompt && Math.min(LEAST_URGENT_PRIORITY, DEFAULT_PRIORITY + route.rank),
				completeTurn,
				onServed: activeCall.markAnswered,
			});
			const isUpstreamOk = result.kind === 'done' || result.kind === 'gone';
			activeCall.end(isUpstreamOk ? 'done' : (result.kind === 'not-run' && result.isFull ? 'full' : 'failed'));
			metrics.countAttempt(result.kind);
			trail.push(`${upstream.id} ${describeResult(result)}`);
			excluded.add(upstream.id);
			if ((result.kind === 'unknown' || result.kind === 'broken') && result.isConnectionLost) {
				crashes.record(getFingerprint(), `${upstream.id} ${upstream.bornAtMs}`);
			}

			if (result.kind === 'not-run') {
				refusals += result.isFull ? 1 : 0;
			} else {
				runs++;
			}

			return result;
		},
	};
};
