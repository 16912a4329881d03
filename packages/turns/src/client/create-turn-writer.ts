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
import type {TokenUse} from '@siskinhub/proto/gen/siskinhub/peer/v1/peer_pb.js';
import {shouldReplaceUse} from '../disk/should-replace-use.js';
import {findGroup} from '../membership/find-group.js';
import {hasQuorum} from '../membership/has-quorum.js';
import type {AskQuorum} from './ask-quorum.js';
import {createSpentBudgetCache} from './create-spent-budget-cache.js';
import type {HolderClient} from './holder-client.js';
import type {QuorumPlace} from './quorum-place.js';
import {tokenUses} from './token-uses.js';

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
	readonly use: {readonly attempt: string; readonly tokens: number; readonly settled: boolean};
	/** Unix milliseconds. */
	readonly expiresAtMs: number;
};

/** What the holders told when an attempt reserved its tokens. */
type Reservation = {
	/** What all attempts of the program have used or reserved. */
	readonly uses: ReadonlyMap<string, TokenUse>;
	/** Disks that have all of it; more are added as they are sent what they lack. */
	readonly complete: Set<string>;
	/** Whether these disks were a write quorum when they answered. */
	readonly isComplete: boolean;
};

/** Returns what must be sent to a disk along with a write of the attempt. */
const listEarlier = (reservation: Reservation | undefined, diskId: string): TokenUse[] => !reservation || reservation.complete.has(diskId) ? [] : [...reservation.uses.values()];

/** `uses` are those that one holder answered. */
const hasAll = (uses: readonly TokenUse[], all: ReadonlyMap<string, TokenUse>): boolean => {
	const known = new Map(uses.map(use => [use.attempt, use]));
	return [...all.values()].every(use => !shouldReplaceUse(known.get(use.attempt), use));
};

export const createTurnWriter = ({askQuorum, losses, slackMs}: WriterOptions): Pick<HolderClient, 'reserve' | 'settle'> => {
	const spentBudgets = createSpentBudgetCache();
	// By attempt, until it settles.
	const reservations = new Map<string, Reservation>();

	/** Stores a reservation and resolves to what the holders of a write quorum know; to nothing if too few answered in time. */
	const askUses = async (place: QuorumPlace, request: ReserveRequest, timeoutMs: number): Promise<Reservation | undefined> => {
		const uses = new Map<string, TokenUse>();
		const answers = new Map<string, readonly TokenUse[]>();
		let isQuorum = (_disks: ReadonlySet<string>): boolean => false;
		const isAnswered = await askQuorum(place, listVersion => ({case: 'reserveTokens', value: {...request, group: place.group, listVersion}}), 'write', timeoutMs, list => {
			const answered = new Set<string>();
			isQuorum = disks => hasQuorum(list, 'write', disks, losses);
			return ({diskId}, answer) => {
				if (answer.case === 'tokensReserved') {
					answered.add(diskId);
					answers.set(diskId, answer.value.uses);
					tokenUses.merge(uses, answer.value.uses);
				}

				return isQuorum(answered) && hasQuorum(list, 'read', answered, losses) ? 'enough' : 'more';
			};
		});
		const complete = new Set([...answers].filter(([, each]) => hasAll(each, uses)).map(([diskId]) => diskId));
		return isAnswered ? {uses, complete, isComplete: isQuorum(complete)} : undefined;
	};

	/** Sends to the holders that lack something what the others know, until a write quorum has all of it; resolves to whether it has. */
	const completeUses = async (place: QuorumPlace, request: ReserveRequest, reservation: Reservation, timeoutMs: number): Promise<boolean> => askQuorum(place, (listVersion, {diskId}) => ({
		case: 'reserveTokens', value: {
			...request, group: place.group, listVersion, earlier: listEarlier(reservation, diskId),
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
				earlier: listEarlier(reservation, diskId),
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

	const reserve: HolderClient['reserve'] = async ({program, attempt, tokens, retentionMs, budget}, timeoutMs) => {
		if (spentBudgets.isSpent(program, tokens, budget)) {
			return 'spent';
		}

		const deadline = Date.now() + timeoutMs;
		const place = {program, group: findGroup(program)};
		const request = {program, use: {attempt, tokens, settled: false}, expiresAtMs: Date.now() + retentionMs + slackMs};
		const reservation = await askUses(place, request, timeoutMs);
		if (!reservation) {
			return 'unavailable';
		}

		reservations.set(attempt, reservation);
		const isComplete = reservation.isComplete || await completeUses(place, request, reservation, deadline - Date.now());
		if (tokenUses.sum(reservation.uses) > budget) {
			spentBudgets.update(program, tokenUses.sumSettled(reservation.uses));
			return 'over-budget';
		}

		return isComplete ? 'reserved' : 'unavailable';
	};

	return {reserve, settle};
};
