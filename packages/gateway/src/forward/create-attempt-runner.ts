/**
Runs the attempts of one request, one upstream after the other, and counts runs
and refusals.
*/
import type {Upstream} from '../upstreams/upstream.js';
import type {UpstreamLoad} from '../placement/upstream-load.js';
import {runWithCopy} from '../copies/run-with-copy.js';
import type {Contender} from '../copies/create-race.js';
import {createQuotaTaker} from '../quotas/create-quota-taker.js';
import {createOriginRecorder} from '../origins/create-origin-recorder.js';
import {hasOrigin} from '../origins/has-origin.js';
import type {CopyWatch} from '../copies/extra-copies.js';
import {choosePlainUpstream} from '../placement/choose-plain-upstream.js';
import type {ActiveCall} from './active-call.js';
import type {AttemptKind} from './attempt-kind.js';
import type {AttemptResult} from './attempt-result.js';
import type {CallerResponse} from './caller-response.js';
import {createCrashGuard} from './create-crash-guard.js';
import type {createTurnHandler} from './create-turn-handler.js';
import type {CallPlan} from './call-plan.js';
import {choosePriority} from './choose-priority.js';
import {chooseUpstreamForCall} from './choose-upstream-for-call.js';
import type {GatewayContext} from './gateway-context.js';
import {judgeLoadEnd} from './judge-load-end.js';
import {runAttempt} from './run-attempt.js';
import {waitUnlessStopped} from './wait-unless-stopped.js';

/** Each permit costs a message; an attempt that was denied so many goes only to upstreams without a limit. */
const MAX_DENIALS = 3;

type AttemptRunnerOptions = {
	readonly plan: CallPlan;
	readonly response: CallerResponse;
	readonly active: ActiveCall;
	/** Whether the declared state in force still lets the caller send the request. */
	readonly mayBeSent: () => boolean;
	readonly turn: Pick<ReturnType<typeof createTurnHandler>, 'progress' | 'recordEvents' | 'completeTurn' | 'expectedOrigin'>;
};

const STOPPING: AttemptResult = {kind: 'not-run', isFull: false, message: 'the process is stopping'};

const passAtOnce = (): boolean => true;

const describeResult = (result: AttemptResult): string => 'message' in result ? `${result.kind}: ${result.message}` : result.kind;

/** Tries no upstream twice. */
export const createAttemptRunner = (context: GatewayContext, {plan, response, active, mayBeSent, turn: {progress, recordEvents, completeTurn, expectedOrigin}}: AttemptRunnerOptions) => {
	const {directory, memory, loads, limits, quotas, pools, codec, metrics, copies, onLeaving} = context;
	const {call, route, service} = plan;
	const excluded = new Set<string>();
	const trail: string[] = [];
	const origins = route.isResumable ? createOriginRecorder({holderClient: context.holderClient, call, expected: expectedOrigin}) : undefined;
	let runs = 0;
	let refusals = 0;
	let denials = 0;
	let running = 0;
	let copyEnd: 'won' | 'lost' | undefined;
	const crashGuard = createCrashGuard(context, plan);
	const quota = createQuotaTaker(quotas, plan, active);

	/** Before the first event any software may run the request; after it only the same. */
	const fitsStream = (upstream: Upstream): boolean => {
		const origin = plan.origin ?? (progress.events > 0 ? origins?.origin() : undefined);
		return !origin || hasOrigin(upstream, origin);
	};

	const isUsable = (upstream: Upstream): boolean => !excluded.has(upstream.id) && fitsStream(upstream) && (denials < MAX_DENIALS ? limits.waitMs(upstream) === 0 : !limits.isLimited(upstream));

	/** Chooses an upstream that the request may be sent to now; `undefined` if there is none. */
	const chooseNext = async (): Promise<UpstreamLoad | undefined> => {
		const chosen = chooseUpstreamForCall(context, plan, isUsable);
		if (!chosen || !limits.isLimited(chosen.upstream)) {
			return chosen;
		}

		active.phase = 'waiting-for-permit';
		const isPermitted = await waitUnlessStopped(active, limits.acquire(chosen.upstream));
		if (isPermitted === true || active.isStopped) {
			return chosen;
		}

		denials++;
		return chooseNext();
	};

	/** Upstreams that the request is kept from only because of their limit. */
	const listWithheld = (): readonly Upstream[] => directory.list(service).filter(upstream => !excluded.has(upstream.id) && fitsStream(upstream) && limits.isLimited(upstream));

	/** Sends the request to one upstream; `contender` is what this attempt sees of it. */
	const send = async (chosen: UpstreamLoad, kind: AttemptKind, contender: Contender): Promise<AttemptResult> => {
		const {upstream, heldTokens} = chosen;
		metrics.countChoice(chosen, call.prompt && {held: heldTokens, missing: Math.max(0, call.prompt.promptTokens - heldTokens)});
		const activeCall = loads.beginCall(upstream, call);
		origins?.begin(upstream);
		const sentAt = limits.now();
		let isSent = false;
		if (kind !== 'copy') {
			active.phase = 'waiting-for-connection';
		}

		excluded.add(upstream.id);
		const result = await runAttempt({
			plan,
			memory,
			upstream,
			pool: pools.get(upstream),
			codec,
			response: contender.response,
			active: contender.active,
			mayBeSent,
			progress,
			priority: choosePriority(call, route, plan.workspace),
			recordEvents,
			completeTurn,
			confirmFirstEvent: origins?.confirm ?? passAtOnce,
			onExcess: metrics.countExcess,
			onSent() {
				isSent = true;
				running++;
				active.phase = 'passed-on';
				active.wasPassedOn = true;
			},
			onServed: activeCall.markAnswered,
			onUpstreamHead({limitPerSecond, isLeaving}) {
				limits.recordAnswer(upstream, limitPerSecond, sentAt);
				if (isLeaving && directory.markLeaving(upstream)) {
					onLeaving(upstream);
				}
			},
		});
		running -= isSent ? 1 : 0;
		const isFull = result.kind === 'not-run' && result.isFull;
		// A limited upstream that refuses is not a failing one, and says nothing about the capacity of the others.
		const isLimited = isFull && limits.isLimited(upstream);
		activeCall.end(isLimited ? 'done' : judgeLoadEnd(result));
		if (isLimited) {
			limits.recordRefusal(upstream);
		}

		metrics.countAttempt(result.kind);
		trail.push(`${upstream.id} ${kind === 'copy' ? 'copy ' : ''}${describeResult(result)}`);
		crashGuard.noteEnd(upstream, result);

		if (result.kind === 'not-run' || ((result.kind === 'gone' || result.kind === 'timed-out') && !result.wasSent)) {
			quota.giveBack();
		}

		if (result.kind === 'not-run') {
			refusals += isFull && !isLimited ? 1 : 0;
		} else {
			runs++;
		}

		active.wasPassedOn = runs + running > 0;

		return result;
	};

	/** Returns another upstream that may run the request beside the one that has it, if its extra copy may be sent. */
	const chooseCopy = (first: UpstreamLoad, watch: CopyWatch): UpstreamLoad | undefined => {
		// The first run is under way.
		if (runs + 2 > route.maxRuns || !mayBeSent() || crashGuard.isNoted()) {
			return undefined;
		}

		const usable = directory.list(service).filter(upstream => isUsable(upstream) && !limits.isLimited(upstream)).map(upstream => loads.getLoad(upstream, call, true));
		const candidates = watch.listCandidates(loads.getLoad(first.upstream, call, true), usable);
		const chosen = choosePlainUpstream(call, candidates, route.isSticky, context.random);
		if (!chosen || !quota.takeSpare()) {
			return undefined;
		}

		if (!watch.trySpend()) {
			quota.giveBack();
			return undefined;
		}

		return chosen;
	};

	/** Decides anew what may have changed while the request waited. */
	const findReasonNotToSend = (): AttemptResult | undefined => {
		const block = crashGuard.findBlock();
		if (block) {
			return crashGuard.refuse(block);
		}

		if (active.isStopped) {
			return STOPPING;
		}

		if (response.isDisconnected()) {
			return {kind: 'gone', wasSent: false};
		}

		return mayBeSent() ? undefined : {kind: 'not-run', isFull: false, message: 'the caller may not send the request any more'};
	};

	const sendWithCopy = async (first: UpstreamLoad): Promise<AttemptResult> => {
		const kind = trail.length > 0 ? 'retry' : 'first';
		const watch = copies?.watch(plan);
		if (!watch) {
			return send(first, kind, {response, active});
		}

		const {result, copy} = await runWithCopy({
			response,
			active,
			first,
			slowAfterMs: watch.slowAfterMs,
			attempt: async (chosen, contender) => send(chosen, chosen === first ? kind : 'copy', contender),
			chooseCopy: () => chooseCopy(first, watch),
		});
		copyEnd = copy ?? copyEnd;
		watch.end(result.kind === 'done' || result.kind === 'timed-out', copy);
		return result;
	};

	return {
		trail,
		/** Whether the request crashed so many upstreams that it is sent to no other. */
		isBlocked: () => crashGuard.findBlock() !== undefined,
		/** Why and until when the workspace's quota kept the request from the last upstream; `undefined` if it did not. */
		overQuota: quota.over,
		/** Whether an extra copy answered first; absent if none was sent. */
		copyEnd: () => copyEnd,
		/** Permits that were denied. */
		denials: () => denials,
		/** Milliseconds until the first of the upstreams that are kept back by their limit takes a request; `undefined` if none is. */
		withheldForMs(): number | undefined {
			const waits = listWithheld().map(upstream => limits.waitMs(upstream));
			return waits.length > 0 ? Math.min(...waits) : undefined;
		},
		/** Upstreams that may have run the request. */
		runs: () => runs,
		/** Upstreams that had no capacity; `Infinity` once none may be tried any more. */
		refusals: () => !crashGuard.findBlock() && !quota.over() && directory.list(service).some(upstream => isUsable(upstream)) ? refusals : Infinity,
		async next(): Promise<AttemptResult> {
			const blockBefore = crashGuard.findBlock();
			if (blockBefore) {
				return crashGuard.refuse(blockBefore);
			}

			// Before the upstream is chosen: while the request waits, loads and upstreams change.
			const taking = quota.take();
			const mayRun = typeof taking === 'boolean' ? taking : await taking;
			if (!mayRun) {
				return active.isStopped ? STOPPING : {kind: 'not-run', isFull: true, message: 'the quota of the workspace allows no request now'};
			}

			const chosen = await chooseNext();
			const reason = findReasonNotToSend();
			if (reason !== undefined || chosen === undefined) {
				quota.giveBack();
				return reason ?? {kind: 'not-run', isFull: true, message: denials > 0 ? 'the limits of the upstreams that are left allow no request now' : 'no upstream is left to try'};
			}

			return sendWithCopy(chosen);
		},
	};
};
