/**
Reserves tokens of a program's budget before a turn runs, on the disks of the program's
replica group by quorum.

Token budgets hold under concurrency: the write quorums of two processes that
reserve at the same time share a holder, so at least one process sees the
other's reservation. Both may be refused, but the reservations that are granted
never exceed the budget together.

A reservation is granted only once a write quorum has it together with what the earlier
attempts of the program have used. All of it is then kept as long as the newest part,
so whatever holders missed while they were away, each disk can decide alone what to
forget. A holder that lacks something is sent it.

Expected load: programs that loop come through all processes at once, with far more
turns than their budget holds. So a refused reservation is not stored where that is
known without it.
*/
import {create} from '@bufbuild/protobuf';
import {TokenUseSchema} from '@siskinhub/proto/gen/siskinhub/peer/v1/peer_pb.js';
import {tokenUses} from '../disk/token-uses.js';
import {findGroup} from '../membership/find-group.js';
import {hasQuorum} from '../membership/has-quorum.js';
import type {AskQuorum} from './ask-quorum.js';
import type {AskReservation} from './ask-reservation.js';
import type {createOriginClient} from './create-origin-client.js';
import {createReservationRound} from './create-reservation-round.js';
import {createSpentBudgetCache} from './create-spent-budget-cache.js';
import {createStreamOrigin} from './create-stream-origin.js';
import type {HolderClient} from './holder-client.js';
import {listEarlierUses} from './list-earlier-uses.js';
import type {QuorumPlace} from './quorum-place.js';
import type {TokenReservation} from './token-reservation.js';

type ReserverOptions = {
	readonly askQuorum: AskQuorum;
	/** Number of disks that may be lost at the same time. */
	readonly losses: number;
	/** Milliseconds added to the retention, since hosts' clocks differ. */
	readonly slackMs: number;
};

type Request = Parameters<AskReservation>[1];

/** The turns are not kept as long, since their bytes are many. */
type KnownUses = Omit<TokenReservation, 'turns'>;

type TokenReserver = Pick<HolderClient, 'reserve'> & Pick<Parameters<typeof createOriginClient>[0], 'isStoredWithTokens'> & {
	/** Returns what the holders told when the attempt reserved its tokens, and forgets it; `undefined` if it reserved none. */
	readonly take: (attempt: string) => KnownUses | undefined;
	/** Returns what was read along of the chain before the attempt's turn, newest first, and forgets it. */
	readonly takeChain: (attempt: string) => TokenReservation['turns'];
};

const exceeds = ({uses}: KnownUses, budget: number): boolean => tokenUses.sum(uses.values()) > budget;

export const createTokenReserver = ({askQuorum, losses, slackMs}: ReserverOptions): TokenReserver => {
	const spentBudgets = createSpentBudgetCache();
	const askReservation = createReservationRound({askQuorum, losses});
	// By attempt, until it settles.
	const reservations = new Map<string, KnownUses>();
	// By attempt, until the chain is read.
	const chains = new Map<string, TokenReservation['turns']>();

	/** A holder that declined for a reservation that has settled elsewhere is asked again, to store the new one and answer with what it knows by then: only what a write quorum stored before it answered is seen by other processes. */
	const askWithinBudget = async (place: QuorumPlace, request: Request, {budget, readTurn, deadline}: {readonly budget: number; readonly readTurn: string | undefined; readonly deadline: number}): Promise<TokenReservation | undefined> => {
		const reservation = await askReservation(place, request, {budget, readTurn, timeoutMs: deadline - Date.now()});
		return !reservation?.isDeclined || exceeds(reservation, budget) ? reservation : askReservation(place, request, {budget: undefined, readTurn, timeoutMs: deadline - Date.now()});
	};

	/** Sends to the holders that lack something what the others know, until a write quorum has all of it; resolves to whether it has. */
	const complete = async (place: QuorumPlace, request: Request, reservation: KnownUses, timeoutMs: number): Promise<boolean> => askQuorum(place, (listVersion, {diskId}) => ({
		case: 'reserveTokens', value: {
			...request, group: place.group, listVersion, earlier: listEarlierUses(reservation, diskId),
		},
	}), 'write', timeoutMs, list => ({diskId}, answer) => {
		if (answer.case === 'tokensReserved') {
			reservation.complete.add(diskId);
		}

		return hasQuorum(list, 'write', reservation.complete, losses) ? 'enough' : 'more';
	});

	return {
		async reserve({program, attempt, tokens, retentionMs, budget, origin, previousTurn}, timeoutMs) {
			if (spentBudgets.isSpent(program, tokens, budget)) {
				return 'spent';
			}

			const deadline = Date.now() + timeoutMs;
			const place = {program, group: findGroup(program)};
			const request = {
				program,
				use: create(TokenUseSchema, {attempt, tokens}),
				expiresAtMs: Date.now() + retentionMs + slackMs,
				origin: origin && createStreamOrigin({attempt, ...origin, sequence: 1}, slackMs),
			};
			const answered = await askWithinBudget(place, request, {budget, readTurn: previousTurn, deadline});
			if (!answered) {
				return 'unavailable';
			}

			const {turns, ...reservation} = answered;
			const isOverBudget = exceeds(reservation, budget);
			if (isOverBudget) {
				spentBudgets.update(program, tokenUses.sumSettled(reservation.uses.values()));
				if (!reservation.mayBeStored && reservation.hasOthersComplete) {
					return 'spent';
				}
			}

			reservations.set(attempt, reservation);
			const isComplete = reservation.isComplete || await complete(place, request, reservation, deadline - Date.now());
			if (isOverBudget) {
				return 'over-budget';
			}

			if (!isComplete) {
				return 'unavailable';
			}

			chains.set(attempt, turns);
			return 'reserved';
		},
		take(attempt) {
			const reservation = reservations.get(attempt);
			reservations.delete(attempt);
			chains.delete(attempt);
			return reservation;
		},
		takeChain(attempt) {
			const turns = chains.get(attempt) ?? [];
			chains.delete(attempt);
			return turns;
		},
		isStoredWithTokens({attempt, service, version, sequence}) {
			const stored = reservations.get(attempt)?.storedOrigin;
			return stored?.service === service && stored.version === version && stored.sequence === sequence;
		},
	};
};
