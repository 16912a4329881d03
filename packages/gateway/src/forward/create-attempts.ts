/**
The attempts of one request at upstreams, one after the other.
*/
import type {AttemptEnd} from './attempt-end.js';
import type {CallerAnswer} from './caller-answer.js';
import type {CallPlan} from './call-plan.js';
import {chooseUpstreamFor} from './choose-upstream-for.js';
import {fingerprintOf} from './fingerprint-of.js';
import type {GatewayParts} from './gateway-parts.js';
import {runAttempt} from './run-attempt.js';
import type {StreamProgress} from './stream-progress.js';

const DEFAULT_PRIORITY = 4;
const LEAST_URGENT_PRIORITY = 9;

type AttemptsOptions = {
	readonly plan: CallPlan;
	readonly answer: CallerAnswer;
	readonly progress: StreamProgress;
	readonly beforeEnd: () => Promise<boolean>;
};

const describeEnd = (end: AttemptEnd): string => 'message' in end ? `${end.kind}: ${end.message}` : end.kind;

/** Counts what ran; no upstream is tried twice. */
export const createAttempts = (parts: GatewayParts, {plan, answer, progress, beforeEnd}: AttemptsOptions) => {
	const {directory, loads, pools, codec, metrics, crashes} = parts;
	const {call, route, service} = plan;
	const excluded = new Set<string>();
	const trail: string[] = [];
	let runs = 0;
	let refusals = 0;
	let fingerprint: string | undefined;

	const readFingerprint = (): string => {
		fingerprint ??= fingerprintOf(call, plan.body);
		return fingerprint;
	};

	const isDangerous = (): boolean => !crashes.isEmpty() && crashes.isDangerous(readFingerprint());

	return {
		trail,
		runs: () => runs,
		/** Upstreams that had no room; `Infinity` once no upstream is left for it. */
		refusals: () => !isDangerous() && directory.list(service).some(({id}) => !excluded.has(id)) ? refusals : Infinity,
		async next(): Promise<AttemptEnd> {
			if (isDangerous()) {
				return {kind: 'not-run', isFull: true, message: 'it broke off at each upstream that ran it'};
			}

			const chosen = chooseUpstreamFor(parts, plan, excluded);
			if (!chosen) {
				return {kind: 'not-run', isFull: true, message: 'no upstream is left'};
			}

			const {upstream, heldTokens} = chosen;
			metrics.countChoice(chosen, call.prompt && {held: heldTokens, missing: Math.max(0, call.prompt.promptTokens - heldTokens)});
			const visit = loads.begin(upstream, call);
			const end = await runAttempt({
				plan,
				upstream,
				pool: pools.get(upstream),
				codec,
				answer,
				progress,
				priority: call.prompt && Math.min(LEAST_URGENT_PRIORITY, DEFAULT_PRIORITY + route.rank),
				beforeEnd,
				onAnswered: visit.answered,
			});
			const isGood = end.kind === 'done' || end.kind === 'gone';
			visit.end(isGood ? 'done' : (end.kind === 'not-run' && end.isFull ? 'full' : 'failed'));
			metrics.countAttempt(end.kind);
			trail.push(`${upstream.id} ${describeEnd(end)}`);
			excluded.add(upstream.id);
			if ((end.kind === 'unknown' || end.kind === 'broken') && end.isCut) {
				crashes.note(readFingerprint(), `${upstream.id} ${upstream.bornAtMs}`);
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
