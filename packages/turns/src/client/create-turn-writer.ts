/**
Reserves tokens of a program's budget before a turn runs, and stores the turn and the
tokens that it used when it ends, on the disks of the program's replica group by quorum.

Token budgets hold under concurrency: the write quorums of two processes that
reserve at the same time share a holder, so at least one process sees the
other's reservation. Both may be refused, but the reservations that are granted
never exceed the budget together.

A write is acknowledged only once a write quorum has it together with all that the
program's data in use consists of: the whole chain before a turn, and what the earlier
attempts of the program have used. All of it is then kept as long as the newest part,
so whatever holders missed while they were away, each disk can decide alone what to
forget. A holder that lacks something is sent it.
*/
import {create} from '@bufbuild/protobuf';
import {TokenUseSchema, type TokenUse} from '@siskinhub/proto/gen/siskinhub/peer/v1/peer_pb.js';
import {shouldReplaceUse} from '../disk/should-replace-use.js';
import {findGroup} from '../membership/find-group.js';
import {hasQuorum} from '../membership/has-quorum.js';
import {tokenUses} from '../disk/token-uses.js';
import type {AskQuorum} from './ask-quorum.js';
import type {createOriginClient} from './create-origin-client.js';
import {createSpentBudgetCache} from './create-spent-budget-cache.js';
import {createStreamOrigin} from './create-stream-origin.js';
import type {HolderClient} from './holder-client.js';
import type {QuorumPlace} from './quorum-place.js';

type WriterOptions = {
	readonly askQuorum: AskQuorum;
	/** Number of disks that may be lost at the same time. */
	readonly losses: number;
	/** Milliseconds added to the retention, since hosts' clocks differ. */
	readonly slackMs: number;
};

type ReserveRequest = {
	readonly program: string;
	/** The reservation itself. */
	readonly use: TokenUse;
	/** Unix milliseconds. */
	readonly expiresAtMs: number;
	readonly origin: ReturnType<typeof createStreamOrigin> | undefined;
};

/** What the holders told when an attempt reserved its tokens. */
type Reservation = {
	/** What all attempts of the program have used or reserved, with this one. */
	readonly uses: ReadonlyMap<string, TokenUse>;
	/** Disks that have all of it; more are added as they are sent what they lack. */
	readonly complete: Set<string>;
	/** Whether these disks were a write quorum when they answered. */
	readonly isComplete: boolean;
	/** Whether any holder may have stored the reservation. */
	readonly mayBeStored: boolean;
	/** Whether a holder that answered has not stored it. */
	readonly isDeclined: boolean;
	/** Whether disks that have everything but the reservation, or even that, were a write quorum. */
	readonly hasOthersComplete: boolean;
	/** What a write quorum stored with the reservation. */
	readonly storedOrigin: ReserveRequest['origin'];
};

/** Returns what must be sent to a disk along with a write of the attempt. */
const listEarlier = (reservation: Reservation | undefined, diskId: string, attempt: string): TokenUse[] => !reservation || reservation.complete.has(diskId) ? [] : [...reservation.uses.values()].filter(use => use.attempt !== attempt);

/** `uses` are those that one holder answered. */
const hasAll = (uses: readonly TokenUse[], all: readonly TokenUse[]): boolean => {
	const known = new Map(uses.map(use => [use.attempt, use]));
	return all.every(use => !shouldReplaceUse(known.get(use.attempt), use));
};

const exceeds = ({uses}: Reservation, budget: number): boolean => tokenUses.sum(uses.values()) > budget;

export const createTurnWriter = ({askQuorum, losses, slackMs}: WriterOptions): Pick<HolderClient, 'reserve' | 'settle'> & Pick<Parameters<typeof createOriginClient>[0], 'isStoredWithTokens'> => {
	const spentBudgets = createSpentBudgetCache();
	// By attempt, until it settles.
	const reservations = new Map<string, Reservation>();

	/** Has the holders of a write quorum store a reservation and resolves to what they know; to nothing if too few answered in time. With `budget`, a holder by whose knowledge it would be exceeded stores nothing. */
	const askUses = async (place: QuorumPlace, request: ReserveRequest, budget: number | undefined, timeoutMs: number): Promise<Reservation | undefined> => {
		const uses = new Map([[request.use.attempt, request.use]]);
		const answers = new Map<string, readonly TokenUse[]>();
		let isDeclined = false;
		// Disks that were asked and have not answered that they stored nothing.
		const mayHaveStored = new Set<string>();
		const withOrigin = new Set<string>();
		let isQuorum = (_disks: ReadonlySet<string>): boolean => false;
		const isAnswered = await askQuorum(place, (listVersion, {diskId}) => {
			mayHaveStored.add(diskId);
			return {
				case: 'reserveTokens', value: {
					...request, group: place.group, listVersion, budget,
				},
			};
		}, 'write', timeoutMs, list => {
			const answered = new Set<string>();
			isQuorum = disks => hasQuorum(list, 'write', disks, losses);
			return ({diskId}, answer) => {
				if (answer.case === 'tokensReserved') {
					answered.add(diskId);
					answers.set(diskId, answer.value.uses);
					if (answer.value.declined) {
						isDeclined = true;
						mayHaveStored.delete(diskId);
					}

					if (answer.value.originStored) {
						withOrigin.add(diskId);
					}

					tokenUses.merge(uses, answer.value.uses);
				}

				return isQuorum(answered) && hasQuorum(list, 'read', answered, losses) ? 'enough' : 'more';
			};
		});
		if (!isAnswered) {
			return undefined;
		}

		const listDisksWith = (required: readonly TokenUse[]): Set<string> => new Set([...answers].filter(([, each]) => hasAll(each, required)).map(([diskId]) => diskId));
		const complete = listDisksWith([...uses.values()]);
		const withOthers = listDisksWith([...uses.values()].filter(({attempt}) => attempt !== request.use.attempt));
		return {
			uses, complete, isComplete: isQuorum(complete), mayBeStored: mayHaveStored.size > 0, isDeclined, hasOthersComplete: isQuorum(withOthers), storedOrigin: isQuorum(withOrigin) ? request.origin : undefined,
		};
	};

	/** A holder that declined for a reservation that has settled elsewhere is asked again, to store the new one and answer with what it knows by then: only what a write quorum stored before it answered is seen by other processes. */
	const askUsesWithin = async (place: QuorumPlace, request: ReserveRequest, budget: number, deadline: number): Promise<Reservation | undefined> => {
		const reservation = await askUses(place, request, budget, deadline - Date.now());
		return !reservation?.isDeclined || exceeds(reservation, budget) ? reservation : askUses(place, request, undefined, deadline - Date.now());
	};

	/** Sends to the holders that lack something what the others know, until a write quorum has all of it; resolves to whether it has. */
	const completeUses = async (place: QuorumPlace, request: ReserveRequest, reservation: Reservation, timeoutMs: number): Promise<boolean> => askQuorum(place, (listVersion, {diskId}) => ({
		case: 'reserveTokens', value: {
			...request, group: place.group, listVersion, earlier: listEarlier(reservation, diskId, request.use.attempt),
		},
	}), 'write', timeoutMs, list => ({diskId}, answer) => {
		if (answer.case === 'tokensReserved') {
			reservation.complete.add(diskId);
		}

		return hasQuorum(list, 'write', reservation.complete, losses) ? 'enough' : 'more';
	});

	const settle: HolderClient['settle'] = async ({program, attempt, tokens, retentionMs}, turn, timeoutMs) => {
		const group = findGroup(program);
		const expiresAtMs = Date.now() + retentionMs + slackMs;
		const reservation = reservations.get(attempt);
		reservations.delete(attempt);
		const turnToStore = turn && {
			id: attempt, previous: turn.previous, input: turn.input, output: turn.output, expiresAtMs,
		};
		const ancestors = (turn?.ancestors ?? []).map(ancestor => ({...ancestor, expiresAtMs}));
		// Disks whose holders have answered that they lack turns of the chain.
		const incomplete = new Set<string>();
		return askQuorum({program, group}, (listVersion, {diskId}) => ({
			case: 'settleTurn', value: {
				group,
				listVersion,
				program,
				use: {attempt, tokens, settled: true},
				earlier: listEarlier(reservation, diskId, attempt),
				expiresAtMs,
				turn: turnToStore,
				ancestors: turn?.isFromOtherGroup === true || incomplete.has(diskId) ? ancestors : [],
				requiresChain: true,
			},
		}), 'write', timeoutMs, list => {
			const stored = new Set<string>();
			return ({diskId}, answer) => {
				if (answer.case === 'chainIncomplete' && !incomplete.has(diskId)) {
					incomplete.add(diskId);
					return 'again';
				}

				if (answer.case === 'acknowledged') {
					stored.add(diskId);
				}

				return hasQuorum(list, 'write', stored, losses) ? 'enough' : 'more';
			};
		});
	};

	const reserve: HolderClient['reserve'] = async ({program, attempt, tokens, retentionMs, budget, origin}, timeoutMs) => {
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
		const reservation = await askUsesWithin(place, request, budget, deadline);
		if (!reservation) {
			return 'unavailable';
		}

		const isOverBudget = exceeds(reservation, budget);
		if (isOverBudget) {
			spentBudgets.update(program, tokenUses.sumSettled(reservation.uses.values()));
			if (!reservation.mayBeStored && reservation.hasOthersComplete) {
				return 'spent';
			}
		}

		reservations.set(attempt, reservation);
		const isComplete = reservation.isComplete || await completeUses(place, request, reservation, deadline - Date.now());
		if (isOverBudget) {
			return 'over-budget';
		}

		return isComplete ? 'reserved' : 'unavailable';
	};

	return {
		reserve,
		settle,
		isStoredWithTokens({attempt, service, version, sequence}) {
			const stored = reservations.get(attempt)?.storedOrigin;
			return stored?.service === service && stored.version === version && stored.sequence === sequence;
		},
	};
};
