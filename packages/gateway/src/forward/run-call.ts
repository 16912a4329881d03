/**
The life of one request: route, turn, attempts, final answer, one log line.
*/
import type {CallHead} from '../call/call-head.js';
import {chooseService} from '../routes/choose-service.js';
import type {Route} from '../routes/route.js';
import type {AttemptResult} from './attempt-result.js';
import type {CallerAnswer} from './caller-answer.js';
import {chooseTurnRetryDelay} from './choose-turn-retry-delay.js';
import {createAttemptRunner} from './create-attempt-runner.js';
import {createTurnHandler} from './create-turn-handler.js';
import {decideNextStep} from './decide-next-step.js';
import type {GatewayContext} from './gateway-context.js';

/** Time after which a caller may come back: short where another process may serve it at once. */
const RETRY_OTHER_PROCESS_MS = 100;
const RETRY_WHEN_FULL_MS = 300;
/** A process that starts has read the routes after some ten milliseconds; a caller sent away would have lost one of its few attempts. */
const FIRST_ROUTES_TIMEOUT_MS = 1000;

const STATUS_BY_TURN_FAILURE = {'over-budget': 402, 'unknown-turn': 404, unavailable: 503} as const;

/** `attempts`: upstreams that it was sent to. */
type CallReport = {readonly outcome: string; readonly status: number; readonly attempts?: number; readonly firstEventMs?: number};

type RoutedCall = {
	readonly call: CallHead;
	readonly body: Uint8Array;
	readonly response: CallerAnswer;
	/** By the runtime's clock. */
	readonly arrivedAt: number;
	readonly route: Route;
	readonly service: string;
};

type LogFields = Record<string, unknown>;

/** Ends the caller's answer as decided; returns what is to be reported. */
const finishCall = (answer: CallerAnswer, end: AttemptResult, step: Exclude<ReturnType<typeof decideNextStep>, {kind: 'retry'}>): CallReport => {
	switch (step.kind) {
		case 'none': {
			return {outcome: end.kind, status: end.kind === 'done' ? end.status : 0};
		}

		case 'break-off': {
			answer.breakOff();
			return {outcome: 'broken', status: 0};
		}

		case 'answer': {
			if (answer.isStarted()) {
				answer.breakOff();
				return {outcome: 'broken', status: 0};
			}

			if (end.kind === 'failed') {
				end.forwardResponse();
				return {outcome: 'failed', status: end.status};
			}

			answer.refuse(step.status, step.isRefusal ? RETRY_WHEN_FULL_MS : undefined);
			return {outcome: step.isRefusal ? 'refused' : 'failed', status: step.status};
		}
	}
};

/** Fills `fields` with what explains the outcome. */
const serveCall = async (parts: GatewayContext, routed: RoutedCall, fields: LogFields): Promise<CallReport> => {
	const {call, body, response: answer, arrivedAt, route, service} = routed;
	const deadlineAt = arrivedAt + Math.min(call.deadlineMs ?? route.timeoutMs, route.timeoutMs);
	const tokensPerEvent = parts.routes.current()?.services.get(service)?.engine?.tokensPerEvent ?? 1;
	const turn = createTurnHandler({
		keeper: parts.keeper, call, route, body, tokensPerEvent,
	});
	const prepared = await turn.prepare(deadlineAt - Date.now());
	const preparedMs = Date.now() - arrivedAt;
	parts.metrics.observePreparation(prepared.kind, preparedMs);
	if (prepared.kind !== 'ready') {
		turn.settleInBackground();
		const status = STATUS_BY_TURN_FAILURE[prepared.kind];
		fields.previousTurn = call.program?.previousTurn;
		if (prepared.kind === 'unavailable') {
			const cutOffForMs = parts.keeper.cutOffForMs();
			fields.cutOffForMs = Math.round(cutOffForMs);
			answer.refuse(status, chooseTurnRetryDelay(cutOffForMs));
		} else {
			answer.refuse(status);
		}

		return {outcome: prepared.kind, status};
	}

	const {progress, completeTurn: beforeEnd} = turn;
	const plan = {
		call, route, service, body: prepared.body, arrivedAt, deadlineAt,
	};
	const attempts = createAttemptRunner(parts, {
		plan, response: answer, progress, completeTurn: beforeEnd,
	});
	for (;;) {
		if (answer.isGone()) {
			turn.settleInBackground();
			return {outcome: 'gone', status: 0};
		}

		const end = await attempts.next();
		const isPastDeadline = Date.now() >= deadlineAt;
		const step = decideNextStep(route, {runs: attempts.runs(), refusals: attempts.refusals(), isPastDeadline}, end);
		if (step.kind === 'retry') {
			continue;
		}

		turn.settleInBackground();
		const firstEventMs = progress.firstEventAt && progress.firstEventAt - arrivedAt;
		Object.assign(fields, {
			trail: attempts.trail, events: progress.events, preparedMs, firstEventMs,
		});
		return {...finishCall(answer, end, step), attempts: attempts.trail.length, firstEventMs};
	}
};

/** Resolves once the caller's answer is over. */
export const runCall = async (parts: GatewayContext, call: CallHead, body: Uint8Array, answer: CallerAnswer, arrivedAt: number): Promise<void> => {
	const {routes, metrics, calls, random} = parts;
	if (!routes.current()) {
		await routes.waitForFirst(Math.min(FIRST_ROUTES_TIMEOUT_MS, call.deadlineMs ?? FIRST_ROUTES_TIMEOUT_MS));
	}

	const declared = routes.current();
	const route = routes.match(call.host, call.path);
	const service = route && chooseService(route, random());
	const fields: LogFields = {route: route?.name, service};

	const refuse = (status: number, outcome: string, retryAfterMs?: number): CallReport => {
		answer.refuse(status, retryAfterMs);
		return {outcome, status};
	};

	const serve = async (): Promise<CallReport> => {
		if (!declared) {
			return refuse(503, 'no-routes', RETRY_OTHER_PROCESS_MS);
		}

		if (!route || service === undefined) {
			return refuse(404, 'no-route');
		}

		return serveCall(parts, {
			call, body, response: answer, arrivedAt, route, service,
		}, fields);
	};

	const {outcome, status, attempts, firstEventMs} = await serve();
	const durationMs = Date.now() - arrivedAt;
	metrics.countCall(outcome, status, durationMs);
	const isInTime = (firstEventMs ?? durationMs) <= (route?.objectiveMs ?? 0);
	calls.write({
		requestId: call.id, programId: call.program?.id, outcome, status, durationMs, version: declared?.version, ...fields,
	}, outcome === 'done' && attempts === 1 && isInTime);
};
