/**
Turns a request that may take the next turn into a grant: limits, budget,
suspicion, upstream, claim.
*/
import {err, ok, type Result} from 'neverthrow';
import type {UpstreamView} from '@siskinhub/core/decide/upstream-view.js';
import type {ClaimId} from '@siskinhub/core/ids/claim-id.js';
import type {InstanceId} from '@siskinhub/core/ids/instance-id.js';
import type {RequestId} from '@siskinhub/core/ids/request-id.js';
import type {TurnNumber} from '@siskinhub/core/ids/turn-number.js';
import {mayHaveRun} from '@siskinhub/core/owner/may-have-run.js';
import type {OpenProgram} from '@siskinhub/core/owner/open-program.js';
import type {OwnedCall} from '@siskinhub/core/owner/owned-call.js';
import type {Refusal} from '@siskinhub/core/refusal/refusal.js';
import type {BodyInit} from '@siskinhub/peer/body-init.js';
import type {GrantRequest} from '@siskinhub/proto/gen/siskinhub/peer/v1/peer_pb.js';
import type {UpstreamEntry} from '../directory/upstream-entry.js';
import {checkLimits} from './check-limits.js';
import {EARLIER_RUN_POSSIBLE} from './earlier-run-possible.js';
import type {GrantGiver} from './grant-giver.js';
import {NOT_CERTAIN} from './not-certain.js';
import type {ProgramBook} from './program-book.js';
import {refuse} from './refuse.js';
import type {RowLimits} from './row-limits.js';
import type {ShardOwnerOptions} from './shard-owner-options.js';
import type {TokenReservation} from './token-reservation.js';
import {viewUpstream} from './view-upstream.js';

const UPSTREAM_POLL_MS = 50;
const RETRY_AFTER_MS = 1000;
/** Usual length of a token; only an estimate for the choice of upstream. */
const BYTES_PER_TOKEN = 4;
const DEFAULT_OUTPUT_TOKENS = 1024;
/** A cancelled engine may have generated this many tokens more than were asked for. */
const OVERRUN_TOKENS = 64;
/** Tokens that an engine adds to a message for its role and its ends. */
const MESSAGE_OVERHEAD_TOKENS = 16;

const CLAIM_NOT_RECORDED: Refusal = {
	code: 'not-run',
	message: 'The claim could not be recorded before the deadline; the call did not run.',
	retryAfterMs: RETRY_AFTER_MS,
};

type CloseRequest = Parameters<GrantGiver['give']>[3];

type CallAccount = {
	readonly limits: RowLimits;
	readonly reservation?: TokenReservation;
	readonly releaseSlots?: () => void;
	/** Prompt tokens that the chosen upstream is not believed to hold. */
	missingTokens?: number;
};

const isStart = (program: OpenProgram, turn: number): boolean => turn === 1 && !program.header.parent;

const estimatePrompt = (program: OpenProgram, inputBytes: number): number => program.historyTokens + Math.ceil(inputBytes / BYTES_PER_TOKEN);

/** Creates the giver of one shard's owner. */
export const createGrantGiver = (options: ShardOwnerOptions, book: ProgramBook, isOwner: () => boolean): GrantGiver => {
	const {shard, epoch, shardLog, holders, upstreams, crashes, chooseUpstream, random, createId} = options;
	const accounts = new WeakMap<OwnedCall, CallAccount>();
	const attainedMs = new Map<string, number>();
	let sequence = 0;

	const rootOf = (program: OpenProgram): OpenProgram => {
		const parent = program.header.parent && book.peek(program.header.parent);
		return parent ? rootOf(parent) : program;
	};

	const describeGrant = (program: OpenProgram, call: OwnedCall): BodyInit => {
		const {grant} = call;
		if (!grant) {
			throw new Error('a granted call has a grant');
		}

		const root = rootOf(program);
		const account = accounts.get(call);
		return {
			case: 'grant',
			value: {
				claim: grant.claim,
				shard,
				epoch: BigInt(epoch),
				claimEpoch: BigInt(grant.epoch),
				sequence: BigInt(grant.sequence),
				program: program.header.program,
				turn: call.turn,
				requestId: call.requestId,
				idempotent: call.idempotent,
				digest: program.digest,
				upstream: grant.upstream,
				sidecarAddress: grant.sidecarAddress,
				sidecarInstance: grant.sidecarInstance,
				maxOutputTokens: grant.maxOutputTokens,
				holders: [...holders],
				weight: account?.limits.limits.weight ?? 1,
				priority: account?.limits.limits.priority ?? 0,
				attainedMs: BigInt(Math.round(attainedMs.get(root.header.program) ?? 0)),
				workspace: program.header.workspace,
				fingerprint: call.fingerprint,
				attachOnly: grant.inherited,
				runAlone: grant.runAlone,
				kind: program.header.kind,
				deployment: program.header.deployment,
				programAgeMs: BigInt(Math.max(0, Date.now() - root.header.startedAt)),
				row: account?.limits.row ?? `workspace/${program.header.workspace}`,
				startsProgram: isStart(program, call.turn),
				missingTokens: BigInt(account?.missingTokens ?? 0),
			},
		};
	};

	const pickUpstream = (program: OpenProgram, message: GrantRequest): UpstreamEntry | undefined => {
		const candidates = upstreams.listFor(message.target).filter(upstream =>
			(upstream.kind === 'service') === message.plainService
			&& upstream.sidecarInstance !== undefined);
		const views: UpstreamView[] = candidates.map(candidate => viewUpstream(candidate, program));
		const placement = chooseUpstream({
			program: program.header.program,
			startsProgram: isStart(program, message.turn),
			promptTokens: estimatePrompt(program, message.inputBytes),
			expectedOutputTokens: message.maxOutputTokens,
		}, views, Date.now(), random);
		return candidates.find(candidate => candidate.id === placement?.upstream && candidate.state === 'live');
	};

	const waitForUpstream = async (program: OpenProgram, call: OwnedCall, message: GrantRequest, deadlineAt: number): Promise<Result<UpstreamEntry, Refusal>> => {
		for (;;) {
			const upstream = pickUpstream(program, message);
			if (upstream) {
				return ok(upstream);
			}

			if (call.cancelled) {
				return err({code: 'cancelled', message: 'The call was cancelled before it was sent to an upstream.'});
			}

			if (!isOwner() || Date.now() >= deadlineAt) {
				return err({code: 'not-run', message: `No live upstream serves ${message.target}; send the call again under a new request id later.`, retryAfterMs: RETRY_AFTER_MS});
			}

			await new Promise<void>(resolve => {
				setTimeout(resolve, UPSTREAM_POLL_MS);
			});
		}
	};

	const limitOutput = (message: GrantRequest, limits: RowLimits): number => {
		const asked = message.maxOutputTokens || DEFAULT_OUTPUT_TOKENS;
		return Math.min(asked, limits.limits.outputTokens ?? asked);
	};

	const countWorstCase = (program: OpenProgram, message: GrantRequest, outputTokens: number): number => message.plainService
		? 0
		: program.historyTokens + message.inputBytes + MESSAGE_OVERHEAD_TOKENS + outputTokens + OVERRUN_TOKENS;

	const claimInLog = async (program: OpenProgram, call: OwnedCall, upstream: UpstreamEntry, claim: ClaimId, deadlineAt: number) => shardLog.append({
		kind: 'claim',
		claim: {
			claim,
			program: program.header.program,
			turn: call.turn,
			requestId: call.requestId,
			upstream: upstream.id,
			sidecarAddress: upstream.sidecarAddress,
			sidecarInstance: (upstream.sidecarInstance ?? '') as InstanceId,
			grantSequence: sequence,
			epoch,
		},
	}, {timeoutMs: Math.max(1, deadlineAt - Date.now())});

	const abandon = (program: OpenProgram, call: OwnedCall) => {
		const account = accounts.get(call);
		account?.reservation?.release();
		account?.releaseSlots?.();
		program.current = undefined;
		book.signal(program.header.program);
	};

	const openAccount = async (limits: RowLimits, tokens: number, deadlineAt: number): Promise<Result<CallAccount, Refusal>> => {
		const reserved = await options.reserveTokens(limits, tokens, Math.max(1, deadlineAt - Date.now()));
		if (reserved.isErr()) {
			return err(reserved.error);
		}

		const slots = await options.acquireSlots(limits, deadlineAt);
		if (slots.isErr()) {
			reserved.value.release();
			return err(slots.error);
		}

		return ok({limits, reservation: reserved.value, releaseSlots: slots.value});
	};

	/** Refuses a call that was not sent, with a word that stays true whoever owns the shard. */
	const refuseUnsent = async (program: OpenProgram, call: OwnedCall, refusal: Refusal, closeRequest: CloseRequest): Promise<BodyInit> => {
		const {code} = refusal;
		if (code === 'not-run' && mayHaveRun(program, call)) {
			abandon(program, call);
			return refuse(EARLIER_RUN_POSSIBLE);
		}

		const isCertain = (code !== 'not-run' && code !== 'cancelled') || await closeRequest(program, call.requestId, call.turn, code);
		abandon(program, call);
		if (!isOwner()) {
			return {case: 'notOwner', value: {shard}};
		}

		return refuse(isCertain ? refusal : NOT_CERTAIN);
	};

	const give: GrantGiver['give'] = async (program, message, deadlineAt, closeRequest) => {
		const resolved = options.limitsOf(program.header);
		if (resolved.isErr()) {
			return refuse(resolved.error);
		}

		const verdict = crashes.judge(message.fingerprint);
		if (verdict === 'quarantine') {
			return refuse({code: 'quarantined', message: 'This request crashed upstreams that ran it; change its input before you send it again.'});
		}

		const maxOutputTokens = limitOutput(message, resolved.value);
		const worstCase = countWorstCase(program, message, maxOutputTokens);
		const passed = checkLimits(program, resolved.value.limits, worstCase, Date.now());
		if (passed) {
			return refuse(passed);
		}

		const call: OwnedCall = {
			requestId: message.requestId as RequestId,
			turn: message.turn as TurnNumber,
			idempotent: message.idempotent,
			fingerprint: message.fingerprint,
			state: 'claiming',
			cancelled: false,
			deadlineAt,
		};
		program.current = call;
		accounts.set(call, {limits: resolved.value});
		const opened = await openAccount(resolved.value, worstCase, deadlineAt);
		if (opened.isErr()) {
			return refuseUnsent(program, call, opened.error, closeRequest);
		}

		const account = opened.value;
		accounts.set(call, account);
		const upstream = await waitForUpstream(program, call, message, deadlineAt);
		if (upstream.isErr()) {
			return refuseUnsent(program, call, upstream.error, closeRequest);
		}

		account.missingTokens = estimatePrompt(program, message.inputBytes) - (program.prefixHolder === upstream.value.id ? program.historyTokens : 0);
		const claim = createId() as ClaimId;
		sequence++;
		call.grant = {
			claim,
			sequence,
			upstream: upstream.value.id,
			sidecarAddress: upstream.value.sidecarAddress,
			sidecarInstance: upstream.value.sidecarInstance ?? '',
			reservedTokens: worstCase,
			epoch,
			inherited: false,
			maxOutputTokens,
			runAlone: verdict === 'alone',
		};
		if (!call.idempotent) {
			const claimed = await claimInLog(program, call, upstream.value, claim, deadlineAt);
			if (claimed.isErr()) {
				return refuseUnsent(program, call, CLAIM_NOT_RECORDED, closeRequest);
			}
		}

		call.state = 'granted';
		program.prefixHolder = upstream.value.id;
		program.prefixHolders.add(upstream.value.id);
		upstreams.noteSent(upstream.value.id);
		book.signal(program.header.program);
		return describeGrant(program, call);
	};

	return {
		give,
		repeat: describeGrant,
		settle(program, call, tokens, slotMs) {
			const account = accounts.get(call);
			account?.reservation?.settle(tokens);
			account?.releaseSlots?.();
			const root = rootOf(program).header.program;
			attainedMs.set(root, (attainedMs.get(root) ?? 0) + slotMs);
		},
		release(program, call, mayHaveRun, usedTokens) {
			const account = accounts.get(call);
			account?.releaseSlots?.();
			const reservation = account?.reservation;
			if (mayHaveRun) {
				// What a lost run used is unknown, so its worst case counts.
				const spent = usedTokens || (call.grant?.reservedTokens ?? 0);
				reservation?.settle(spent);
				program.spentTokens += spent;
			} else {
				reservation?.release();
			}
		},
	};
};
