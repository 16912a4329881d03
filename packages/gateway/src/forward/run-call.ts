/**
The life of one request: route, turn, attempts, final answer, one log line.
*/
import {Buffer} from 'node:buffer';
import type {CallHead} from '../call/call-head.js';
import {chooseService} from '../routes/choose-service.js';
import type {AttemptEnd} from './attempt-end.js';
import type {CallerAnswer} from './caller-answer.js';
import type {CallPlan} from './call-plan.js';
import {chooseUpstreamFor} from './choose-upstream-for.js';
import {decideNextStep} from './decide-next-step.js';
import type {GatewayParts} from './gateway-parts.js';
import {prepareTurn} from './prepare-turn.js';
import {runAttempt} from './run-attempt.js';
import type {StreamProgress} from './stream-progress.js';

/** Time after which a caller may come back: short where another process may serve it at once. */
const RETRY_ELSEWHERE_MS = 100;
const RETRY_WHEN_FULL_MS = 300;
const DEFAULT_PRIORITY = 4;
const LEAST_URGENT_PRIORITY = 9;
/** Time for the end of a turn to reach a quorum of holders where its caller waits for it. */
const SETTLE_TIMEOUT_MS = 2000;

const statusOfTurn = {'over-budget': 402, 'unknown-turn': 404, unavailable: 503} as const;

const describeEnd = (end: AttemptEnd): string => 'message' in end ? `${end.kind}: ${end.message}` : end.kind;

/** Resolves once the caller's answer is over. */
export const runCall = async (parts: GatewayParts, call: CallHead, body: Buffer, answer: CallerAnswer, arrivedAt: number): Promise<void> => {
	const {routes, keeper, loads, pools, codec, metrics, log, random} = parts;
	const trail: string[] = [];

	const report = (outcome: string, status: number, fields: Readonly<Record<string, unknown>> = {}): void => {
		const durationMs = Date.now() - arrivedAt;
		metrics.countCall(outcome, status, durationMs);
		log.info('call', {
			requestId: call.id, programId: call.program?.id, outcome, status, durationMs, trail, revision: routes.current()?.version, ...fields,
		});
	};

	const refuse = (status: number, outcome: string, retryAfterMs?: number): void => {
		answer.refuse(status, retryAfterMs);
		report(outcome, status);
	};

	const declared = routes.current();
	if (!declared) {
		refuse(503, 'no-routes', RETRY_ELSEWHERE_MS);
		return;
	}

	const route = routes.find(call.host, call.path);
	const service = route && chooseService(route, random());
	if (!route || service === undefined) {
		refuse(404, 'no-route');
		return;
	}

	const deadlineAt = arrivedAt + Math.min(call.deadlineMs ?? route.timeoutMs, route.timeoutMs);
	const retentionMs = route.retentionMs;
	const isTurn = route.kind === 'stream' && call.program !== undefined;
	const progress: StreamProgress = {
		lastEventId: undefined, events: 0, output: isTurn && route.keepsTurns ? [] : undefined, bytes: 0, firstEventAt: undefined,
	};
	let isReserved = false;
	let isSettled = false;

	const countTokens = (): number => Math.min(call.prompt?.maxTokens ?? Infinity, progress.events * (declared.services.get(service)?.engine?.tokensPerEvent ?? 1));

	const settleTurn = async (turn?: Parameters<typeof keeper.settle>[1]): Promise<boolean> => {
		isSettled = true;
		return keeper.settle({
			program: call.program!.id, attempt: call.id, tokens: countTokens(), retentionMs,
		}, turn, SETTLE_TIMEOUT_MS);
	};

	const settleInBackground = (): void => {
		if (isReserved && !isSettled) {
			void settleTurn();
		}
	};

	const beforeEnd = async (): Promise<boolean> => {
		if (progress.output) {
			return settleTurn({previous: call.program?.previousTurn ?? '', input: body, output: Buffer.from(progress.output.join(''))});
		}

		settleInBackground();
		return true;
	};

	let upstreamBody = body;
	if (isTurn) {
		const prepared = await prepareTurn(keeper, call, route, {body, leftMs: deadlineAt - Date.now()});
		isReserved = prepared.isReserved;
		if (prepared.kind !== 'ready') {
			settleInBackground();
			refuse(statusOfTurn[prepared.kind], prepared.kind, prepared.kind === 'unavailable' ? RETRY_WHEN_FULL_MS : undefined);
			return;
		}

		upstreamBody = prepared.body;
	}

	const plan: CallPlan = {
		call, route, service, body: upstreamBody, arrivedAt, deadlineAt,
	};
	const excluded = new Set<string>();
	const ran = new Set<string>();
	let refusals = 0;

	const attempt = async (): Promise<AttemptEnd> => {
		const upstream = chooseUpstreamFor(parts, plan, excluded);
		if (!upstream) {
			return {kind: 'not-run', isFull: true, message: 'no upstream is left'};
		}

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
		const isFull = end.kind === 'not-run' && end.isFull;
		const isGood = end.kind === 'done' || end.kind === 'gone';
		visit.end(isGood ? 'done' : (isFull ? 'full' : 'failed'));
		metrics.countAttempt(end.kind);
		trail.push(`${upstream.id} ${describeEnd(end)}`);
		excluded.add(upstream.id);
		if (end.kind === 'not-run') {
			refusals++;
		} else {
			ran.add(upstream.id);
		}

		return end;
	};

	for (;;) {
		if (answer.isGone()) {
			settleInBackground();
			report('gone', 0);
			return;
		}

		const end = await attempt();
		const hasNoneLeft = end.kind === 'not-run' && chooseUpstreamFor(parts, plan, excluded) === undefined;
		const step = decideNextStep(route, {runs: ran.size, refusals: hasNoneLeft ? Infinity : refusals}, end);
		if (step.kind === 'retry' && Date.now() < deadlineAt) {
			continue;
		}

		settleInBackground();
		const fields = {
			route: route.name, service, upstreams: excluded.size, events: progress.events, firstEventMs: progress.firstEventAt && progress.firstEventAt - arrivedAt,
		};
		switch (step.kind) {
			case 'none': {
				report(end.kind, end.kind === 'done' ? end.status : 0, fields);
				return;
			}

			case 'answer': {
				if (answer.isStarted()) {
					answer.breakOff();
				} else if (end.kind === 'failed') {
					end.pass();
				} else {
					answer.refuse(step.status, step.isRefusal ? RETRY_WHEN_FULL_MS : undefined);
				}

				report(step.isRefusal ? 'refused' : 'failed', end.kind === 'failed' ? end.status : step.status, fields);
				return;
			}

			case 'retry': {
				answer.refuse(ran.size === 0 ? 503 : 504);
				report('timed-out', ran.size === 0 ? 503 : 504, fields);
				return;
			}

			case 'break-off': {
				answer.breakOff();
				report('broken', 0, fields);
				return;
			}
		}
	}
};
