/**
Runs one request from arrival to response: finds its route, prepares its turn,
runs the attempts, ends the response, and writes metrics and a log line.
*/
import type {CallHead} from '../call/call-head.js';
import {chooseService} from '../routes/choose-service.js';
import {expectOrigin} from '../origins/expect-origin.js';
import {takeUpStream} from '../origins/take-up-stream.js';
import type {Route} from '../routes/route.js';
import {chooseOverStatus} from '../quotas/choose-over-status.js';
import type {CallerIdentity} from '../workspaces/caller-identity.js';
import {chooseScope} from '../workspaces/choose-scope.js';
import {createCallerCheck} from '../workspaces/create-caller-check.js';
import {decideCallerRefusal} from '../workspaces/decide-caller-refusal.js';
import {endUnconfirmed} from '../workspaces/end-unconfirmed.js';
import {scopeHolderClient} from '../workspaces/scope-holder-client.js';
import type {ActiveCall} from './active-call.js';
import type {AttemptResult} from './attempt-result.js';
import type {CallerResponse} from './caller-response.js';
import {chooseTurnRetryDelay} from './choose-turn-retry-delay.js';
import {createAttemptRunner} from './create-attempt-runner.js';
import {createTurnHandler} from './create-turn-handler.js';
import {decideNextStep} from './decide-next-step.js';
import type {GatewayContext} from './gateway-context.js';
import {waitUnlessStopped} from './wait-unless-stopped.js';

/** Retry delays for callers; short if another process may serve them at once. */
const RETRY_OTHER_PROCESS_MS = 100;
const RETRY_WHEN_FULL_MS = 300;
/** A request that crashes upstreams stays blocked for minutes, so an earlier return is in vain. */
const RETRY_BLOCKED_MS = 60_000;
/** A starting process has read the routes within tens of milliseconds; refusing the caller would cost it one of its few attempts. */
const FIRST_ROUTES_TIMEOUT_MS = 1000;

/** Time in which a quorum of holders must tell which software began a stream. */
const ORIGIN_TIMEOUT_MS = 1200;

const OUTCOME_BY_RESUMPTION = {unknown: 'origin-unknown', unavailable: 'origin-unavailable', 'unknown-output': 'output-unknown'} as const;

const STATUS_BY_TURN_FAILURE = {'over-budget': 402, 'unknown-turn': 404, unavailable: 503} as const;

/** `attempts` counts the upstreams that the request was sent to. */
type CallReport = {readonly outcome: string; readonly status: number; readonly attempts?: number; readonly firstEventMs?: number};

type RoutedCall = {
	readonly call: CallHead;
	readonly body: Uint8Array;
	readonly response: CallerResponse;
	readonly active: ActiveCall;
	readonly route: Route;
	readonly service: string;
	readonly caller: CallerIdentity;
};

type LogFields = Record<string, unknown>;

type FinishOptions = {
	readonly retryAfterMs: number;
	/** Whether the planned stop of the process ended the request. */
	readonly isStopped: boolean;
	/** Set if the quota of the workspace kept the request from an upstream; its status if the request has not run at all. */
	readonly overQuotaStatus: number | undefined;
};

/** Ends the response as `step` says; returns the values to report. */
const finishCall = (response: CallerResponse, result: AttemptResult, step: Exclude<ReturnType<typeof decideNextStep>, {kind: 'retry'}>, {retryAfterMs, isStopped, overQuotaStatus}: FinishOptions): CallReport => {
	switch (step.kind) {
		case 'none': {
			return {outcome: result.kind, status: result.kind === 'done' ? result.status : 0};
		}

		case 'break-off': {
			response.abort();
			return {outcome: 'broken', status: 0};
		}

		case 'answer': {
			if (response.isStarted()) {
				response.abort();
				return {outcome: 'broken', status: 0};
			}

			if (result.kind === 'failed') {
				result.forwardResponse();
				return {outcome: 'failed', status: result.status};
			}

			if (step.isRefusal && overQuotaStatus !== undefined) {
				response.refuse(overQuotaStatus, retryAfterMs);
				return {outcome: 'over-quota', status: overQuotaStatus};
			}

			response.refuse(step.status, step.isRefusal ? retryAfterMs : undefined);
			return {outcome: isStopped ? 'stopping' : (step.isRefusal ? 'refused' : 'failed'), status: step.status};
		}
	}
};

/** Frees what is kept of the response of a failed attempt. */
const dropResponse = (result: AttemptResult): void => {
	if (result.kind === 'failed') {
		result.dropResponse();
	}
};

/** Adds to `fields` the log fields that explain the outcome. */
const serveCall = async (shared: GatewayContext, routed: RoutedCall, fields: LogFields): Promise<CallReport> => {
	const {call, body, response, active, route, service, caller} = routed;
	const declaresWorkspaces = shared.callers.declaresWorkspaces();
	const scope = chooseScope(caller, declaresWorkspaces);
	const context = scope === undefined ? shared : {...shared, holderClient: scopeHolderClient(shared.holderClient, scope)};
	const checkCaller = createCallerCheck(shared.callers, call, caller);
	const {arrivedAt} = active;
	const deadlineAt = arrivedAt + Math.min(call.deadlineMs ?? route.timeoutMs, route.timeoutMs);
	const tokensPerEvent = context.routes.current()?.services.get(service)?.engine?.tokensPerEvent ?? 1;
	const beginsStream = route.isResumable && call.lastEventId === undefined;
	const turn = createTurnHandler({
		holderClient: context.holderClient, memory: context.memory, call, route, body, tokensPerEvent, origin: beginsStream ? expectOrigin(service, context.directory.list(service)) : undefined,
	});
	if (turn.isCopiedAsItComes) {
		response.sendAfterMessages();
	}

	const preparation = await waitUnlessStopped(active, Promise.all([
		turn.prepare(deadlineAt - Date.now()),
		takeUpStream(context.holderClient, call, route, {
			timeoutMs: Math.min(ORIGIN_TIMEOUT_MS, deadlineAt - Date.now()),
			hasSeveralVersions: () => new Set(context.directory.list(service).map(({softwareVersion}) => softwareVersion)).size > 1,
		}),
	]));
	if (!preparation) {
		turn.settleInBackground();
		response.refuse(503, RETRY_OTHER_PROCESS_MS);
		return {outcome: 'stopping', status: 503};
	}

	const [prepared, resumption] = preparation;
	const preparedMs = Date.now() - arrivedAt;
	context.metrics.observePreparation(prepared.kind, preparedMs);
	if (prepared.kind !== 'ready') {
		turn.settleInBackground();
		const status = STATUS_BY_TURN_FAILURE[prepared.kind];
		fields.previousTurn = call.program?.previousTurn;
		if (prepared.kind === 'unavailable') {
			const cutOffForMs = context.holderClient.cutOffForMs(call.program?.id ?? '');
			fields.cutOffForMs = Math.round(cutOffForMs);
			response.refuse(status, chooseTurnRetryDelay(cutOffForMs));
		} else {
			response.refuse(status);
		}

		return {outcome: prepared.kind, status};
	}

	if (call.resumes !== undefined) {
		fields.resumes = call.resumes;
	}

	if (resumption.kind !== 'new') {
		context.metrics.countResumption(resumption.kind);
	}

	if (resumption.kind !== 'new' && resumption.kind !== 'resumed') {
		turn.settleInBackground();
		response.refuse(503, resumption.kind === 'unavailable' ? RETRY_OTHER_PROCESS_MS : undefined);
		return {outcome: OUTCOME_BY_RESUMPTION[resumption.kind], status: 503};
	}

	const origin = resumption.kind === 'resumed' ? resumption.origin : undefined;
	fields.softwareVersion = origin?.version;
	if (resumption.kind === 'resumed') {
		turn.addBeginning(resumption.beginning);
	}

	const {progress} = turn;
	const plan = {
		call,
		route,
		service: origin?.service ?? service,
		workspace: caller.kind === 'workspace' ? caller.workspace : undefined,
		passesCredentials: !declaresWorkspaces,
		origin,
		body: prepared.body,
		arrivedAt,
		deadlineAt,
	};
	const attempts = createAttemptRunner(context, {
		plan, response, active, turn, mayBeSent: () => checkCaller() === 'same',
	});
	for (;;) {
		if (response.isDisconnected()) {
			turn.settleInBackground();
			return {outcome: 'gone', status: 0};
		}

		const standing = checkCaller();
		if (standing !== 'same') {
			turn.settleInBackground();
			return {...endUnconfirmed(response, standing, attempts.runs() > 0), attempts: attempts.trail.length};
		}

		const result = await attempts.next();
		const isPastDeadline = active.isStopped || Date.now() >= deadlineAt;
		const step = decideNextStep(route, {runs: attempts.runs(), refusals: attempts.refusals(), isPastDeadline}, result);
		if (step.kind === 'retry') {
			dropResponse(result);
			continue;
		}

		turn.settleInBackground();
		const firstEventMs = progress.firstEventAt && progress.firstEventAt - arrivedAt;
		Object.assign(fields, {
			trail: attempts.trail, events: progress.events, preparedMs, firstEventMs,
		});
		const withheldForMs = attempts.withheldForMs();
		Object.assign(fields, attempts.denials() > 0 && {denials: attempts.denials(), withheldForMs});
		const over = attempts.overQuota();
		Object.assign(fields, over && {overQuota: over.reason});
		const whenFullMs = active.isStopped ? RETRY_OTHER_PROCESS_MS : RETRY_WHEN_FULL_MS;
		const waitMs = attempts.isBlocked() ? RETRY_BLOCKED_MS : Math.max(RETRY_OTHER_PROCESS_MS, withheldForMs ?? whenFullMs);
		const ended = finishCall(response, result, step, {retryAfterMs: over?.retryAfterMs ?? waitMs, isStopped: active.isStopped, overQuotaStatus: over && chooseOverStatus(over.reason)});
		dropResponse(result);
		return {...ended, attempts: attempts.trail.length, firstEventMs};
	}
};

/** Resolves once the response to the caller has ended. */
export const runCall = async (context: GatewayContext, call: CallHead, body: Uint8Array, response: CallerResponse, active: ActiveCall): Promise<void> => {
	const {routes, metrics, calls, random} = context;
	active.phase = 'preparing';
	if (!routes.current()) {
		await waitUnlessStopped(active, routes.waitForFirst(Math.min(FIRST_ROUTES_TIMEOUT_MS, call.deadlineMs ?? FIRST_ROUTES_TIMEOUT_MS)));
	}

	const declared = routes.current();
	const route = routes.match(call.host, call.path);
	const service = route && chooseService(route, random());
	const caller = context.callers.identify(call);
	const workspace = caller.kind === 'workspace' ? caller.workspace.name : undefined;
	const fields: LogFields = {route: route?.name, service, workspace};

	const refuse = (status: number, outcome: string, retryAfterMs?: number): CallReport => {
		response.refuse(status, retryAfterMs);
		return {outcome, status};
	};

	const serve = async (): Promise<CallReport> => {
		if (active.isStopped) {
			return refuse(503, 'stopping', RETRY_OTHER_PROCESS_MS);
		}

		if (!declared) {
			return refuse(503, 'no-routes', RETRY_OTHER_PROCESS_MS);
		}

		const refusal = decideCallerRefusal(caller);
		if (refusal) {
			return refuse(refusal.status, refusal.outcome, refusal.retryAfterMs);
		}

		if (!route || service === undefined) {
			return refuse(404, 'no-route');
		}

		return serveCall(context, {
			call, body, response, active, route, service, caller,
		}, fields);
	};

	const {outcome, status, attempts, firstEventMs} = await serve();
	const durationMs = Date.now() - active.arrivedAt;
	metrics.countCall(outcome, status, durationMs, workspace);
	const isInTime = (firstEventMs ?? durationMs) <= (route?.objectiveMs ?? 0);
	calls.write({
		requestId: call.id, programId: call.program?.id, finishInMs: call.program?.finishInMs, outcome, status, durationMs, version: declared?.version, ...fields,
	}, outcome === 'done' && attempts === 1 && isInTime);
};
