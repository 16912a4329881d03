/**
Serves the programs of one shard: orders their calls, applies limits and budgets,
chooses upstreams, and lets a non-idempotent call run at most once. Answer bodies
do not pass through this module.

What must survive the process is appended to the shard's log before the reply
that depends on it: the claim of a non-idempotent call, and the closing of a
request that will not run. Once an append fails because another owner has taken
the shard over, this owner replies `not-owner`.
*/
import type {ProgramId} from '@siskinhub/core/ids/program-id.js';
import type {RequestId} from '@siskinhub/core/ids/request-id.js';
import type {TurnNumber} from '@siskinhub/core/ids/turn-number.js';
import type {WorkspaceId} from '@siskinhub/core/ids/workspace-id.js';
import type {Digest} from '@siskinhub/core/ids/digest.js';
import type {ClosedFate} from '@siskinhub/core/owner/closed-fate.js';
import {decideGrant} from '@siskinhub/core/owner/decide-grant.js';
import {mayHaveRun} from '@siskinhub/core/owner/may-have-run.js';
import type {OpenProgram} from '@siskinhub/core/owner/open-program.js';
import type {OwnedCall} from '@siskinhub/core/owner/owned-call.js';
import type {ShardLogItem} from '@siskinhub/core/owner/shard-log-item.js';
import type {MessageBodyInit} from '@siskinhub/peer/message-body-init.js';
import {Fate} from '@siskinhub/proto/gen/siskinhub/peer/v1/peer_pb.js';
import {decideClosedFate} from './decide-closed-fate.js';
import {createGrantIssuer} from './create-grant-issuer.js';
import {createProgramRegistry} from './create-program-registry.js';
import {createProgramService} from './create-program-service.js';
import {EARLIER_RUN_POSSIBLE} from './earlier-run-possible.js';
import {findProgram} from './find-program.js';
import {NOT_RUN_UNCONFIRMED} from './not-run-unconfirmed.js';
import {copyHistories} from './copy-histories.js';
import {refuse} from './refuse.js';
import type {ShardOwner} from './shard-owner.js';
import type {ShardOwnerOptions} from './shard-owner-options.js';

const ACKNOWLEDGED: MessageBodyInit = {case: 'acknowledged', value: {}};
/** Time limit for recording a closed request; `not-run` is replied only once it is recorded. */
const CLOSE_REQUEST_TIMEOUT_MS = 2000;

/** Keeps an unresponsive platform from delaying a planned stop; the lease then expires by itself. */
const HAND_OVER_TIMEOUT_MS = 3000;
const ATTACH_RETRY_MS = 500;

/** Creates the owner of a shard whose log this process has just taken over. */
export const createShardOwner = (options: ShardOwnerOptions): ShardOwner => {
	const {shard, epoch, shardLog, holders, upstreams, crashes, orders, log} = options;
	const registry = createProgramRegistry(options);
	const notOwner: MessageBodyInit = {case: 'notOwner', value: {shard}};
	let isLeaving = false;
	const isOwner = () => !isLeaving && !shardLog.isFenced();
	const issuer = createGrantIssuer(options, registry, isOwner);

	const append = async (item: ShardLogItem, timeoutMs?: number) => shardLog.append(item, timeoutMs === undefined ? {} : {timeoutMs});

	const freeTurn = (program: OpenProgram, call: OwnedCall) => {
		if (program.current === call) {
			program.current = undefined;
		}

		if (call.grant && !call.grant.inherited) {
			upstreams.recordGrantEnded(call.grant.upstream);
		}

		registry.signal(program.header.program);
	};

	/** Makes sure that the request never runs again under its id, whichever entry owns the shard; false if the log did not confirm it. */
	const closeRequest = async (program: OpenProgram, requestId: RequestId, turn: TurnNumber, fate: ClosedFate): Promise<boolean> => {
		if (fate === 'outcome-unknown') {
			// Applies at this owner even if the append fails; the next owner finds the claim in the log.
			program.closed.set(requestId, fate);
		}

		const closed = await append({
			kind: 'close', program: program.header.program, turn, requestId, fate,
		}, CLOSE_REQUEST_TIMEOUT_MS);
		if (closed.isOk()) {
			program.closed.set(requestId, fate);
		}

		return closed.isOk();
	};

	/** Adds the requests that the log has as closed: an append that timed out may still have been recorded. */
	const syncClosedRequests = (program: OpenProgram) => {
		for (const {requestId, fate} of shardLog.state().programs[program.header.program]?.closed ?? []) {
			program.closed.set(requestId as RequestId, fate);
		}
	};

	const grant: ShardOwner['grant'] = async message => {
		const deadlineAt = Date.now() + message.deadlineMs;
		const question = {
			workspace: message.workspace as WorkspaceId,
			turn: message.turn as TurnNumber,
			requestId: message.requestId as RequestId,
			after: message.after,
		};
		for (;;) {
			if (!isOwner()) {
				return notOwner;
			}

			const found = await registry.find(message.program as ProgramId);
			if (found.isErr()) {
				return refuse(found.error);
			}

			const program = found.value;
			program.lastSeenAt = Date.now();
			syncClosedRequests(program);
			const decision = decideGrant(program, question);
			switch (decision.kind) {
				case 'refuse': {
					return refuse(decision.refusal);
				}

				case 'recorded': {
					return {case: 'recorded', value: {turn: decision.turn, holders: [...holders]}};
				}

				case 'attach': {
					return issuer.repeat(program, decision.call);
				}

				case 'go': {
					return issuer.issue(program, message, deadlineAt, closeRequest);
				}

				case 'wait': {
					const remainingMs = deadlineAt - Date.now();
					if (remainingMs <= 0) {
						return refuse(decision.refusalAtDeadline);
					}

					await registry.waitForChange(program.header.program, remainingMs);
				}
			}
		}
	};

	const settle: ShardOwner['settle'] = async message => {
		const found = await registry.find(message.program as ProgramId);
		if (found.isErr()) {
			return refuse(found.error);
		}

		const program = found.value;
		const requestId = message.requestId as RequestId;
		if (program.storedTurns.has(requestId)) {
			return ACKNOWLEDGED;
		}

		const call = program.current;
		if (call?.requestId !== requestId || call.turn !== message.turn) {
			return refuse({code: 'unknown-request', message: 'This owner knows no such running call; ask for a grant again.'});
		}

		const tokens = Number(message.promptTokens + message.outputTokens);
		program.storedTurns.set(requestId, call.turn);
		program.digest = message.digest as Digest;
		program.nextTurn = (call.turn + 1) as TurnNumber;
		program.spentTokens += tokens;
		// A model's prompt contains all earlier turns; the turn of a plain service is added to them.
		program.historyTokens = tokens > 0 ? tokens : program.historyTokens + Number(message.storedBytes);
		program.turnEndedAt = Date.now();
		program.lastSeenAt = Date.now();
		issuer.settle(program, call, tokens, Number(message.slotMs));
		crashes.noteSuccess(call.fingerprint);
		freeTurn(program, call);
		const loggedProgram = shardLog.state().programs[program.header.program];
		if (!call.idempotent || loggedProgram) {
			void append({kind: 'advance', program: program.header.program, turn: call.turn});
		}

		return ACKNOWLEDGED;
	};

	const release: ShardOwner['release'] = async message => {
		const found = await registry.find(message.program as ProgramId);
		if (found.isErr()) {
			return refuse(found.error);
		}

		const program = found.value;
		const call = program.current;
		if (call?.grant?.claim !== message.claim) {
			// Another attempt of the request may still be running, unless the request was closed.
			const isOpen = message.fate === Fate.NOT_RUN && program.closed.get(message.requestId as RequestId) !== 'not-run';
			return isOpen ? refuse(EARLIER_RUN_POSSIBLE) : ACKNOWLEDGED;
		}

		if (message.upstreamCrashed) {
			crashes.noteCrash(call.fingerprint, message.ranAlone);
		}

		issuer.release(program, call, message.fate !== Fate.NOT_RUN, Number(message.usedTokens));
		if (call.idempotent && message.fate !== Fate.NOT_RUN) {
			program.possiblyRun.add(call.requestId);
		} else if (message.fate === Fate.NOT_RUN && mayHaveRun(program, call)) {
			// Only this grant did not run; an earlier one may have.
			freeTurn(program, call);
			return refuse(EARLIER_RUN_POSSIBLE);
		}

		const fate = decideClosedFate(call, message);
		const isConfirmed = fate === undefined || await closeRequest(program, call.requestId, call.turn, fate);
		freeTurn(program, call);
		if (!isConfirmed && fate === 'not-run') {
			return isOwner() ? refuse(NOT_RUN_UNCONFIRMED) : notOwner;
		}

		return ACKNOWLEDGED;
	};

	const deactivate = () => {
		isLeaving = true;
		for (const program of registry.all()) {
			registry.signal(program.header.program);
		}
	};

	const programs = createProgramService({...options, registry, isOwner});

	return {
		shard,
		epoch,
		holders,
		...programs,
		grant,
		settle,
		release,
		async cancel(message) {
			const found = await findProgram(registry, message);
			if (found.isErr()) {
				return refuse(found.error);
			}

			const program = found.value;
			const call = program.current;
			if (call?.requestId !== message.requestId) {
				return refuse({code: 'unknown-request', message: 'No such request is running; it may have ended already.'});
			}

			call.cancelled = true;
			if (call.grant) {
				orders.cancelRun(call.grant.sidecarAddress, {shard, epoch, claim: call.grant.claim});
			}

			return ACKNOWLEDGED;
		},
		async attach(message) {
			const found = await registry.find(message.program as ProgramId);
			if (found.isErr()) {
				return refuse(found.error);
			}

			const program = found.value;
			const requestId = message.requestId as RequestId;
			const turn = program.storedTurns.get(requestId) ?? (program.current?.requestId === requestId ? program.current.turn : undefined);
			if (turn === undefined && !program.closed.has(requestId)) {
				return refuse({code: 'unknown-request', message: 'No such request is known; post the call again.'});
			}

			const decision = decideGrant(program, {
				workspace: message.workspace as WorkspaceId, turn: turn ?? program.nextTurn, requestId, after: '',
			});
			switch (decision.kind) {
				case 'recorded': {
					return {case: 'recorded', value: {turn: decision.turn, holders: [...holders]}};
				}

				case 'attach': {
					return issuer.repeat(program, decision.call);
				}

				case 'refuse': {
					return refuse(decision.refusal);
				}

				default: {
					return refuse({code: 'unavailable', message: 'The request is still being recorded; attach again.', retryAfterMs: ATTACH_RETRY_MS});
				}
			}
		},
		openPrograms: registry.size,
		isFenced: shardLog.isFenced,
		copyHistories: async () => copyHistories(options, registry),
		deactivate,
		async handOver() {
			deactivate();
			await options.returnBudgets();
			const handedOver = await append({kind: 'hand-over'}, HAND_OVER_TIMEOUT_MS);
			log.info('shard handed over', {shard, ok: handedOver.isOk()});
		},
	};
};
