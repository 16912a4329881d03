/**
HTTP routes for programs: start, show, read the history, end.
*/
import * as z from 'zod';
import {createProgramId} from '@siskinhub/core/ids/create-program-id.js';
import type {ProgramId} from '@siskinhub/core/ids/program-id.js';
import type {ShardId} from '@siskinhub/core/ids/shard-id.js';
import type {RefusalCode} from '@siskinhub/core/refusal/refusal-code.js';
import type {MessageBody} from '@siskinhub/peer/message-body.js';
import type {MessageBodyInit} from '@siskinhub/peer/message-body-init.js';
import type {ProgramView} from '@siskinhub/proto/gen/siskinhub/peer/v1/peer_pb.js';
import {decodeHolders} from '../history/decode-holders.js';
import type {HttpRequest} from './http-request.js';
import type {HttpRoute} from './http-route.js';
import {readJson} from './read-json.js';
import type {RouteContext} from './route-context.js';
import {sendJson} from './send-json.js';
import {sendRefusal} from './send-refusal.js';

const NAME_LENGTH = 128;
const OWNER_TIMEOUT_MS = 10_000;
const HTTP_CREATED = 201;

const startSchema = z.strictObject({
	kind: z.string().min(1).max(NAME_LENGTH),
	deployment: z.string().min(1).max(NAME_LENGTH),
	parent: z.string().max(NAME_LENGTH).optional(),
});

const describeProgram = (view: ProgramView) => ({
	program: view.program,
	workspace: view.workspace,
	kind: view.kind,
	deployment: view.deployment,
	...(view.parent !== '' && {parent: view.parent}),
	state: view.ended ? 'ended' : 'open',
	nextTurn: view.nextTurn,
	spentTokens: Number(view.spentTokens),
	digest: view.digest,
});

/** Creates the routes of one entry. */
export const createProgramRoutes = (context: RouteContext): HttpRoute[] => {
	const {router, cfg, histories, random, createId, getProgramShard} = context;

	/** Returns the owner's reply. If it is a refusal or there is none, sends the refusal and returns undefined. */
	const askOwner = async ({res, traceparent}: HttpRequest, program: ProgramId, body: MessageBodyInit): Promise<MessageBody | undefined> => {
		const shard = getProgramShard(program);
		if (shard === undefined) {
			sendRefusal(res, {code: 'unknown-program', message: `${program} is no program of this deployment; start one first.`});
			return undefined;
		}

		const answer = await router.ask(shard, body, Date.now() + OWNER_TIMEOUT_MS, traceparent);
		if (answer.isErr()) {
			sendRefusal(res, answer.error);
			return undefined;
		}

		const reply = answer.value.body;
		if (reply.case === 'refused') {
			const {code, message, retryAfterMs} = reply.value;
			sendRefusal(res, {code: code as RefusalCode, message, ...(retryAfterMs > 0 && {retryAfterMs})});
			return undefined;
		}

		return reply;
	};

	const start = async (request: HttpRequest) => {
		const body = await readJson(request.req, cfg.limits.maxBodyBytes, startSchema);
		if (body.isErr()) {
			sendRefusal(request.res, body.error);
			return;
		}

		const {kind, deployment, parent = ''} = body.value;
		// A sub-agent is placed in its parent's shard, so that one owner manages a program and all its sub-agents.
		const shard = parent === '' ? Math.floor(random() * cfg.shards) as ShardId : getProgramShard(parent as ProgramId);
		if (shard === undefined) {
			sendRefusal(request.res, {code: 'unknown-program', message: `${parent} is no program of this deployment; name the parent's id.`});
			return;
		}

		const program = createProgramId(shard, createId());
		const reply = await askOwner(request, program, {
			case: 'startProgram', value: {
				program, workspace: request.workspace, kind, deployment, parent,
			},
		});
		if (reply?.case === 'programView') {
			sendJson(request.res, HTTP_CREATED, describeProgram(reply.value));
		}
	};

	const handleProgramRequest = async (request: HttpRequest, kind: 'getProgram' | 'endProgram') => {
		const program = request.params[0] as ProgramId;
		const value = {program, workspace: request.workspace};
		const reply = await askOwner(request, program, kind === 'getProgram' ? {case: kind, value} : {case: kind, value});
		if (reply?.case === 'programView') {
			sendJson(request.res, 200, describeProgram(reply.value));
		}
	};

	const readHistory = async (request: HttpRequest) => {
		const program = request.params[0] as ProgramId;
		const reply = await askOwner(request, program, {case: 'getProgram', value: {program, workspace: request.workspace}});
		if (reply?.case !== 'programView') {
			return;
		}

		// A read quorum has every turn whose final event was sent, even if the owner that replied has just been replaced.
		const read = await histories.readLatest(decodeHolders(reply.value.holders), program);
		if (read.isErr()) {
			sendRefusal(request.res, read.error);
			return;
		}

		const turns = read.value?.turns ?? [];
		sendJson(request.res, 200, {program, digest: turns.at(-1)?.digest ?? '', turns});
	};

	return [
		{
			method: 'POST', pattern: /^\/v1\/programs$/v, audience: 'caller', handle: start,
		},
		{
			method: 'GET', pattern: /^\/v1\/programs\/([^\/]+)$/v, audience: 'both', handle: async request => handleProgramRequest(request, 'getProgram'),
		},
		{
			method: 'POST', pattern: /^\/v1\/programs\/([^\/]+)\/end$/v, audience: 'both', handle: async request => handleProgramRequest(request, 'endProgram'),
		},
		{
			method: 'GET', pattern: /^\/v1\/programs\/([^\/]+)\/history$/v, audience: 'both', handle: readHistory,
		},
	];
};
