/**
Issues the grant for a request that may take the next turn: checks quarantine and
limits, reserves budget and concurrency slots, chooses an upstream, and records
the claim of a non-idempotent call.
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
import type {MessageBodyInit} from '@siskinhub/peer/message-body-init.js';
import type {GrantRequest} from '@siskinhub/proto/gen/siskinhub/peer/v1/peer_pb.js';
import type {UpstreamStatus} from '../directory/upstream-status.js';
import {checkLimits} from './check-limits.js';
import {EARLIER_RUN_POSSIBLE} from './earlier-run-possible.js';
import type {GrantIssuer} from './grant-issuer.js';
import {NOT_RUN_UNCONFIRMED} from './not-run-unconfirmed.js';
import type {ProgramRegistry} from './program-registry.js';
import {refuse} from './refuse.js';
import type {RowLimits} from './row-limits.js';
import type {ShardOwnerOptions} from './shard-owner-options.js';
import type {TokenReservation} from './token-reservation.js';
import {createUpstreamView} from './create-upstream-view.js';

const UPSTREAM_POLL_MS = 50;
const RETRY_AFTER_MS = 1000;
/** Usual length of a token; only an estimate for the choice of upstream. */
const ESTIMATED_BYTES_PER_TOKEN = 4;
const DEFAULT_OUTPUT_TOKENS = 1024;
/** A cancelled engine may have generated this many tokens more than were asked for. */
const OVERRUN_TOKENS = 64;
/** Tokens that an engine adds to a message for its role and delimiters. */
const MESSAGE_OVERHEAD_TOKENS = 16;

const CLAIM_NOT_RECORDED: Refusal = {
	code: 'not-run',
	message: 'The claim could not be recorded before the deadline; the call did not run.',
	retryAfterMs: RETRY_AFTER_MS,
};

type CloseRequest = Parameters<GrantIssuer['issue']>[3];

/** What a call occupies until it is settled or released. */
type CallResources = {
	readonly limits: RowLimits;
	readonly reservation?: TokenReservation;
	readonly releaseSlots?: () => void;
	/** Prompt tokens that the chosen upstream is not expected to have cached. */
	missingTokens?: number;
};

const isProgramStart = (program: OpenProgram, turn: number): boolean => turn === 1 && !program.header.parent;

const estimatePromptTokens = (program: OpenProgram, inputBytes: number): number => program.historyTokens + Math.ceil(inputBytes / ESTIMATED_BYTES_PER_TOKEN);

/** Creates the issuer for one shard; `isOwner` turns false once the shard is handed over or lost. */
export const createGrantIssuer = (options: ShardOwnerOptions, registry: ProgramRegistry, isOwner: () => boolean): GrantIssuer => {
	const {shard, epoch, shardLog, holders, upstreams, crashes, chooseUpstream, random, createId} = options;
	const resourcesByCall = new WeakMap<OwnedCall, CallResources>();
	const attainedMs = new Map<string, number>();
	let sequence = 0;

	const findRoot = (program: OpenProgram): OpenProgram => {
		const parent = program.header.parent && registry.peek(program.header.parent);
		return parent ? findRoot(parent) : program;
	};

	const describeGrant = (program: OpenProgram, call: OwnedCall): MessageBodyInit => {
		const {grant} = call;
		if (!grant) {
			throw new Error('the call is in the state "granted" but has no grant');
		}

		const root = findRoot(program);
		const resources = resourcesByCall.get(call);
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
				weight: resources?.limits.limits.weight ?? 1,
				priority: resources?.limits.limits.priority ?? 0,
				attainedMs: BigInt(Math.round(attainedMs.get(root.header.program) ?? 0)),
				workspace: program.header.workspace,
				fingerprint: call.fingerprint,
				attachOnly: grant.inherited,
				runAlone: grant.runAlone,
				kind: program.header.kind,
				deployment: program.header.deployment,
				programAgeMs: BigInt(Math.max(0, Date.now() - root.header.startedAt)),
				row: resources?.limits.row ?? `workspace/${program.header.workspace}`,
				startsProgram: isProgramStart(program, call.turn),
				missingTokens: BigInt(resources?.missingTokens ?? 0),
			},
		};
	};

	const selectUpstream = (program: OpenProgram, message: GrantRequest): UpstreamStatus | undefined => {
		const candidates = upstreams.listFor(message.target).filter(upstream =>
			(upstream.kind === 'service') === message.plainService
			&& upstream.sidecarInstance !== undefined);
		const views: UpstreamView[] = candidates.map(candidate => createUpstreamView(candidate, program));
		const placement = chooseUpstream({
			program: program.header.program,
			startsProgram: isProgramStart(program, message.turn),
			promptTokens: estimatePromptTokens(program, message.inputBytes),
			expectedOutputTokens: message.maxOutputTokens,
		}, views, Date.now(), random);
		return candidates.find(candidate => candidate.id === placement?.upstream && candidate.state === 'live');
	};

	const waitForUpstream = async (program: OpenProgram, call: OwnedCall, message: GrantRequest, deadlineAt: number): Promise<Result<UpstreamStatus, Refusal>> => {
		for (;;) {
			const upstream = selectUpstream(program, message);
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
		const requested = message.maxOutputTokens || DEFAULT_OUTPUT_TOKENS;
		return Math.min(requested, limits.limits.outputTokens ?? requested);
	};

	const countWorstCaseTokens = (program: OpenProgram, message: GrantRequest, outputTokens: number): number => message.plainService
		? 0
		: program.historyTokens + message.inputBytes + MESSAGE_OVERHEAD_TOKENS + outputTokens + OVERRUN_TOKENS;

	const recordClaim = async (program: OpenProgram, call: OwnedCall, upstream: UpstreamStatus, claim: ClaimId, deadlineAt: number) => shardLog.append({
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
		const resources = resourcesByCall.get(call);
		resources?.reservation?.release();
		resources?.releaseSlots?.();
		program.current = undefined;
		registry.signal(program.header.program);
	};

	const reserveResources = async (limits: RowLimits, tokens: number, deadlineAt: number): Promise<Result<CallResources, Refusal>> => {
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

	/** Refuses a call that was not sent, with a refusal that stays true whichever entry owns the shard. */
	const refuseUnsent = async (program: OpenProgram, call: OwnedCall, refusal: Refusal, closeRequest: CloseRequest): Promise<MessageBodyInit> => {
		const {code} = refusal;
		if (code === 'not-run' && mayHaveRun(program, call)) {
			abandon(program, call);
			return refuse(EARLIER_RUN_POSSIBLE);
		}

		const isConfirmed = (code !== 'not-run' && code !== 'cancelled') || await closeRequest(program, call.requestId, call.turn, code);
		abandon(program, call);
		if (!isOwner()) {
			return {case: 'notOwner', value: {shard}};
		}

		return refuse(isConfirmed ? refusal : NOT_RUN_UNCONFIRMED);
	};

	const issue: GrantIssuer['issue'] = async (program, message, deadlineAt, closeRequest) => {
		const resolved = options.limitsOf(program.header);
		if (resolved.isErr()) {
			return refuse(resolved.error);
		}

		const crashClass = crashes.classify(message.fingerprint);
		if (crashClass === 'quarantine') {
			return refuse({code: 'quarantined', message: 'This request crashed upstreams that ran it; change its input before you send it again.'});
		}

		const maxOutputTokens = limitOutput(message, resolved.value);
		const worstCaseTokens = countWorstCaseTokens(program, message, maxOutputTokens);
		const limitRefusal = checkLimits(program, resolved.value.limits, worstCaseTokens, Date.now());
		if (limitRefusal) {
			return refuse(limitRefusal);
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
		resourcesByCall.set(call, {limits: resolved.value});
		const acquired = await reserveResources(resolved.value, worstCaseTokens, deadlineAt);
		if (acquired.isErr()) {
			return refuseUnsent(program, call, acquired.error, closeRequest);
		}

		const resources = acquired.value;
		resourcesByCall.set(call, resources);
		const upstream = await waitForUpstream(program, call, message, deadlineAt);
		if (upstream.isErr()) {
			return refuseUnsent(program, call, upstream.error, closeRequest);
		}

		resources.missingTokens = estimatePromptTokens(program, message.inputBytes) - (program.prefixHolder === upstream.value.id ? program.historyTokens : 0);
		const claim = createId() as ClaimId;
		sequence++;
		call.grant = {
			claim,
			sequence,
			upstream: upstream.value.id,
			sidecarAddress: upstream.value.sidecarAddress,
			sidecarInstance: upstream.value.sidecarInstance ?? '',
			reservedTokens: worstCaseTokens,
			epoch,
			inherited: false,
			maxOutputTokens,
			runAlone: crashClass === 'alone',
		};
		if (!call.idempotent) {
			const claimed = await recordClaim(program, call, upstream.value, claim, deadlineAt);
			if (claimed.isErr()) {
				return refuseUnsent(program, call, CLAIM_NOT_RECORDED, closeRequest);
			}
		}

		call.state = 'granted';
		program.prefixHolder = upstream.value.id;
		program.prefixHolders.add(upstream.value.id);
		upstreams.recordGrantSent(upstream.value.id);
		registry.signal(program.header.program);
		return describeGrant(program, call);
	};

	return {
		issue,
		repeat: describeGrant,
		settle(program, call, tokens, slotMs) {
			const resources = resourcesByCall.get(call);
			resources?.reservation?.settle(tokens);
			resources?.releaseSlots?.();
			const root = findRoot(program).header.program;
			attainedMs.set(root, (attainedMs.get(root) ?? 0) + slotMs);
		},
		release(program, call, mayHaveRun, usedTokens) {
			const resources = resourcesByCall.get(call);
			resources?.releaseSlots?.();
			const reservation = resources?.reservation;
			if (mayHaveRun) {
				// The usage of a lost run is unknown, so its worst case is charged.
				const spent = usedTokens || (call.grant?.reservedTokens ?? 0);
				reservation?.settle(spent);
				program.spentTokens += spent;
			} else {
				reservation?.release();
			}
		},
	};
};
