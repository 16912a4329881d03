/**
HTTP routes for calls: post a call, attach to it again, cancel it.
*/
import type {TurnRecord} from '@siskinhub/core/history/turn-record.js';
import type {ProgramId} from '@siskinhub/core/ids/program-id.js';
import type {RequestId} from '@siskinhub/core/ids/request-id.js';
import type {TurnNumber} from '@siskinhub/core/ids/turn-number.js';
import type {WorkspaceId} from '@siskinhub/core/ids/workspace-id.js';
import type {RefusalCode} from '@siskinhub/core/refusal/refusal-code.js';
import type {CallRequest} from '../calls/call-request.js';
import {callBodySchema} from './call-body.js';
import {createEventStream} from './create-event-stream.js';
import type {HttpRequest} from './http-request.js';
import type {HttpRoute} from './http-route.js';
import {readJson} from './read-json.js';
import {resumeAnswer} from './resume-answer.js';
import type {RouteContext} from './route-context.js';
import {sendJson} from './send-json.js';
import {sendRefusal} from './send-refusal.js';

const OWNER_TIMEOUT_MS = 10_000;
const LEAVING_RETRY_AFTER_MS = 1000;
const OFFSET_PATTERN = /^\d{1,15}$/v;
const SHA256_PATTERN = /^[\da-f]{64}$/v;

/** Creates the routes of one entry. */
export const createCallRoutes = (context: RouteContext): HttpRoute[] => {
	const {cfg, router, calls, getProgramShard} = context;

	const post = async (request: HttpRequest) => {
		const {req, res, workspace, traceparent} = request;
		const program = request.params[0] as ProgramId;
		const body = await readJson(req, cfg.limits.maxBodyBytes, callBodySchema);
		if (body.isErr()) {
			sendRefusal(res, body.error);
			return;
		}

		if (getProgramShard(program) === undefined) {
			sendRefusal(res, {code: 'unknown-program', message: `${program} is no program of this deployment; start one first.`});
			return;
		}

		if (context.isLeaving()) {
			sendRefusal(res, {code: 'unavailable', message: 'This entry is stopping; send the same request to another one.', retryAfterMs: LEAVING_RETRY_AFTER_MS});
			return;
		}

		const {target} = body.value;
		const call: CallRequest = {
			program,
			workspace: workspace as WorkspaceId,
			turn: body.value.turn as TurnNumber,
			requestId: body.value.requestId as RequestId,
			idempotent: body.value.idempotent,
			deadlineMs: body.value.deadlineMs ?? cfg.limits.defaultDeadlineMs,
			target: 'model' in target ? {kind: 'model', model: target.model} : {kind: 'service', ...target},
			input: body.value.input,
			maxOutputTokens: body.value.maxOutputTokens,
			after: body.value.after,
			...(body.value.history && {history: body.value.history.turns as unknown as readonly TurnRecord[]}),
		};
		const {events} = createEventStream({res, gatherMs: cfg.chunkGatherMs});
		await calls.run(call, events, traceparent);
	};

	const attach = async ({res, url, params, workspace, traceparent}: HttpRequest) => {
		const [program = '', requestId = ''] = params;
		const offset = url.searchParams.get('offset') ?? '0';
		const prefixSha256 = url.searchParams.get('prefixSha256') ?? undefined;
		if (prefixSha256 !== undefined && !SHA256_PATTERN.test(prefixSha256)) {
			sendRefusal(res, {code: 'bad-request', message: 'prefixSha256 is no SHA-256 in hex; hash the bytes before the offset.'});
			return;
		}

		if (!OFFSET_PATTERN.test(offset)) {
			sendRefusal(res, {code: 'bad-request', message: `offset is ${offset}; give a number of bytes.`});
			return;
		}

		if (getProgramShard(program as ProgramId) === undefined) {
			sendRefusal(res, {code: 'unknown-program', message: `${program} is no program of this deployment.`});
			return;
		}

		const {events} = createEventStream({res, gatherMs: cfg.chunkGatherMs});
		await calls.attach({
			program: program as ProgramId,
			workspace: workspace as WorkspaceId,
			requestId: requestId as RequestId,
			deadlineMs: cfg.limits.defaultDeadlineMs,
		}, resumeAnswer(events, {from: Number(offset), prefixSha256}), traceparent);
	};

	const cancel = async (request: HttpRequest) => {
		const [program = '', requestId = ''] = request.params;
		const shard = getProgramShard(program as ProgramId);
		if (shard === undefined) {
			sendRefusal(request.res, {code: 'unknown-program', message: `${program} is no program of this deployment.`});
			return;
		}

		const answer = await router.ask(shard, {case: 'cancelCall', value: {program, requestId, workspace: request.workspace}}, Date.now() + OWNER_TIMEOUT_MS);
		if (answer.isErr()) {
			sendRefusal(request.res, answer.error);
			return;
		}

		const {body} = answer.value;
		if (body.case === 'refused') {
			sendRefusal(request.res, {code: body.value.code as RefusalCode, message: body.value.message});
			return;
		}

		sendJson(request.res, 200, {cancelled: true});
	};

	return [
		{
			method: 'POST', pattern: /^\/v1\/programs\/([^\/]+)\/calls$/v, audience: 'caller', handle: post,
		},
		{
			method: 'GET', pattern: /^\/v1\/programs\/([^\/]+)\/calls\/([^\/]+)$/v, audience: 'caller', handle: attach,
		},
		{
			method: 'DELETE', pattern: /^\/v1\/programs\/([^\/]+)\/calls\/([^\/]+)$/v, audience: 'caller', handle: cancel,
		},
	];
};
