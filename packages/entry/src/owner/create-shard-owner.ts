/**
Decides for the programs of one shard: order, limits, budget, upstream, and what
may run once only. Nothing here moves an answer's bytes.

What must outlive the process goes into the shard's log before a reply that
depends on it: the claim of a non-idempotent call, and the word that a request
will not run. An append that fails because another owner has taken over makes
this owner answer `not-owner` from then on.
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
import type {BodyInit} from '@siskinhub/peer/body-init.js';
import {Fate} from '@siskinhub/proto/gen/siskinhub/peer/v1/peer_pb.js';
import {decideClosing} from './decide-closing.js';
import {createGrantGiver} from './create-grant-giver.js';
import {createProgramBook} from './create-program-book.js';
import {createProgramService} from './create-program-service.js';
import {EARLIER_RUN_POSSIBLE} from './earlier-run-possible.js';
import {findProgram} from './find-program.js';
import {NOT_CERTAIN} from './not-certain.js';
import {refillHolders} from './refill-holders.js';
import {refuse} from './refuse.js';
import type {ShardOwner} from './shard-owner.js';
import type {ShardOwnerOptions} from './shard-owner-options.js';

const ACKNOWLEDGED: BodyInit = {case: 'acknowledged', value: {}};
/** Time that the word of not-run may take to become durable; without that it is not given. */
const CLOSE_TIMEOUT_MS = 2000;

/** A platform that does not answer must not hold up a planned stop; the lease lapses then. */
const HAND_OVER_TIMEOUT_MS = 3000;
const ATTACH_RETRY_MS = 500;

/** Creates the owner of a shard whose log this process has just taken over. */
export const createShardOwner = (options: ShardOwnerOptions): ShardOwner => {
	const {shard, epoch, shardLog, holders, upstreams, crashes, orders, log} = options;
	const book = createProgramBook(options);
	const notOwner: BodyInit = {case: 'notOwner', value: {shard}};
	let isLeaving = false;
	const isOwner = () => !isLeaving && !shardLog.isFenced();
	const giver = createGrantGiver(options, book, isOwner);

	const append = async (item: ShardLogItem, timeoutMs?: number) => shardLog.append(item, timeoutMs === undefined ? {} : {timeoutMs});

	const freeTurn = (program: OpenProgram, call: OwnedCall) => {
		if (program.current === call) {
			program.current = undefined;
		}

		if (call.grant && !call.grant.inherited) {
			upstreams.noteEnded(call.grant.upstream);
		}

		book.signal(program.header.program);
	};

	/** Makes sure that the request never runs again under its id, whoever owns the shard; false if the log did not take it. */
	const closeRequest = async (program: OpenProgram, requestId: RequestId, turn: TurnNumber, fate: ClosedFate): Promise<boolean> => {
		if (fate === 'outcome-unknown') {
			// Holds at this owner at once; for the next one the claim stands in the log.
			program.closed.set(requestId, fate);
		}

		const closed = await append({
			kind: 'close', program: program.header.program, turn, requestId, fate,
		}, CLOSE_TIMEOUT_MS);
		if (closed.isOk()) {
			program.closed.set(requestId, fate);
		}

		return closed.isOk();
	};

	/** The log may have taken a closing whose answer came too late. */
	const noteClosed = (program: OpenProgram) => {
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

			const found = await book.find(message.program as ProgramId);
			if (found.isErr()) {
				return refuse(found.error);
			}

			const program = found.value;
			program.lastSeenAt = Date.now();
			noteClosed(program);
			const decision = decideGrant(program, question);
			switch (decision.kind) {
				case 'refuse': {
					return refuse(decision.refusal);
				}

				case 'recorded': {
					return {case: 'recorded', value: {turn: decision.turn, holders: [...holders]}};
				}

				case 'attach': {
					return giver.repeat(program, decision.call);
				}

				case 'go': {
					return giver.give(program, message, deadlineAt, closeRequest);
				}

				case 'wait': {
					const remainingMs = deadlineAt - Date.now();
					if (remainingMs <= 0) {
						return refuse(decision.refusalAtDeadline);
					}

					await book.waitForChange(program.header.program, remainingMs);
				}
			}
		}
	};

	const settle: ShardOwner['settle'] = async message => {
		const found = await book.find(message.program as ProgramId);
		if (found.isErr()) {
			return refuse(found.error);
		}

		const program = found.value;
		const requestId = message.requestId as RequestId;
		if (program.stored.has(requestId)) {
			return ACKNOWLEDGED;
		}

		const call = program.current;
		if (call?.requestId !== requestId || call.turn !== message.turn) {
			return refuse({code: 'unknown-request', message: 'This owner knows no such running call; ask for a grant again.'});
		}

		const tokens = Number(message.promptTokens + message.outputTokens);
		program.stored.set(requestId, call.turn);
		program.digest = message.digest as Digest;
		program.nextTurn = (call.turn + 1) as TurnNumber;
		program.spentTokens += tokens;
		// A model's prompt holds all turns before it; a plain service's turn adds to the next one.
		program.historyTokens = tokens > 0 ? tokens : program.historyTokens + Number(message.storedBytes);
		program.turnEndedAt = Date.now();
		program.lastSeenAt = Date.now();
		giver.settle(program, call, tokens, Number(message.slotMs));
		crashes.noteSuccess(call.fingerprint);
		freeTurn(program, call);
		const onRecord = shardLog.state().programs[program.header.program];
		if (!call.idempotent || onRecord) {
			void append({kind: 'advance', program: program.header.program, turn: call.turn});
		}

		return ACKNOWLEDGED;
	};

	const release: ShardOwner['release'] = async message => {
		const found = await book.find(message.program as ProgramId);
		if (found.isErr()) {
			return refuse(found.error);
		}

		const program = found.value;
		const call = program.current;
		if (call?.grant?.claim !== message.claim) {
			// Another copy of the request may still go on, unless it was closed.
			const isOpen = message.fate === Fate.NOT_RUN && program.closed.get(message.requestId as RequestId) !== 'not-run';
			return isOpen ? refuse(EARLIER_RUN_POSSIBLE) : ACKNOWLEDGED;
		}

		if (message.upstreamCrashed) {
			crashes.noteCrash(call.fingerprint, message.ranAlone);
		}

		giver.release(program, call, message.fate !== Fate.NOT_RUN, Number(message.usedTokens));
		if (call.idempotent && message.fate !== Fate.NOT_RUN) {
			program.doubtful.add(call.requestId);
		} else if (message.fate === Fate.NOT_RUN && mayHaveRun(program, call)) {
			// Only this grant did not run.
			freeTurn(program, call);
			return refuse(EARLIER_RUN_POSSIBLE);
		}

		const fate = decideClosing(call, message);
		const isCertain = fate === undefined || await closeRequest(program, call.requestId, call.turn, fate);
		freeTurn(program, call);
		if (!isCertain && fate === 'not-run') {
			return isOwner() ? refuse(NOT_CERTAIN) : notOwner;
		}

		return ACKNOWLEDGED;
	};

	const retire = () => {
		isLeaving = true;
		for (const program of book.all()) {
			book.signal(program.header.program);
		}
	};

	const programs = createProgramService({...options, book, isOwner});

	return {
		shard,
		epoch,
		holders,
		...programs,
		grant,
		settle,
		release,
		async cancel(message) {
			const found = await findProgram(book, message);
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
			const found = await book.find(message.program as ProgramId);
			if (found.isErr()) {
				return refuse(found.error);
			}

			const program = found.value;
			const requestId = message.requestId as RequestId;
			const turn = program.stored.get(requestId) ?? (program.current?.requestId === requestId ? program.current.turn : undefined);
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
					return giver.repeat(program, decision.call);
				}

				case 'refuse': {
					return refuse(decision.refusal);
				}

				default: {
					return refuse({code: 'unavailable', message: 'The request is still being recorded; attach again.', retryAfterMs: ATTACH_RETRY_MS});
				}
			}
		},
		openPrograms: book.size,
		isFenced: shardLog.isFenced,
		refill: async () => refillHolders(options, book),
		retire,
		async handOver() {
			retire();
			await options.returnBudgets();
			const handedOver = await append({kind: 'hand-over'}, HAND_OVER_TIMEOUT_MS);
			log.info('shard handed over', {shard, ok: handedOver.isOk()});
		},
	};
};
