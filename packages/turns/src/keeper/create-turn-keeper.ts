/**
Keeps turns and token budgets on the holders' disks, by quorum and without an
owner: a turn never changes once written and a program's uses only grow, so no
order has to be agreed on.

Two daemons that reserve at once have a holder in common, so at least one of
them sees the other; both may be refused, but never do both pass the budget.
*/
import {setTimeout as delay} from 'node:timers/promises';
import type {KeptTurn, TokenUse} from '@siskinhub/proto/gen/siskinhub/peer/v1/peer_pb.js';
import type {PeerLink} from '@siskinhub/peer/peer-link.js';
import {countQuorum} from '../holders/count-quorum.js';
import {hasQuorum} from '../holders/has-quorum.js';
import type {Holder} from '../holders/holder.js';
import type {HolderList} from '../holders/holder-list.js';
import {listAllHolders} from '../holders/list-all-holders.js';
import {orderHolders} from '../holders/order-holders.js';
import {askHolders} from './ask-holders.js';
import {createReachWatch} from './create-reach-watch.js';
import {createSpentBook} from './create-spent-book.js';
import {sumUses} from './sum-uses.js';
import type {TurnKeeper} from './turn-keeper.js';

/** Kept beyond the retention, since hosts' clocks differ and may jump by seconds. */
const CLOCK_SLACK_MS = 30_000;
/** How often a request that came before the first list of holders looks for it. */
const FIRST_LIST_CHECK_MS = 20;

type KeeperOptions = {
	/** The newest list that is known here. */
	readonly readList: () => HolderList | undefined;
	/** Takes over a newer list that a holder told of. */
	readonly adoptList: (list: HolderList) => void;
	readonly linkTo: (holder: Holder) => PeerLink;
	/** Disks that may be lost at once. */
	readonly losses: number;
	/** This process's own; holders there are asked first. */
	readonly dataCentre: string;
};

type Ask = Parameters<typeof askHolders>[0]['ask'];
type StartRound = (list: HolderList) => Parameters<typeof askHolders>[0]['onAnswer'];

/** While the list changes everybody is asked. */
const countFirst = (list: HolderList, losses: number): number => list.next ? Infinity : countQuorum(list.current.length, losses).write;

/** Creates the client of the holders. */
export const createTurnKeeper = ({readList, adoptList, linkTo, losses, dataCentre}: KeeperOptions): TurnKeeper => {
	const spent = createSpentBook();
	const reach = createReachWatch(withinMs => {
		const list = readList();
		if (!list) {
			return false;
		}

		const heard = listAllHolders(list).filter(holder => {
			const link = linkTo(holder);
			return link.remote() && link.silentForMs() <= withinMs;
		});
		return hasQuorum(list, 'write', new Set(heard.map(({diskId}) => diskId)), losses);
	});

	/** Repeats a round under each newer list until it has enough answers or the time is up. */
	const askQuorum = async (program: string, ask: Ask, kind: 'one' | 'write', timeoutMs: number, startRound: StartRound): Promise<boolean> => {
		const startedAt = performance.now();
		const deadline = Date.now() + timeoutMs;
		for (;;) {
			const list = readList();
			const leftMs = deadline - Date.now();
			if (leftMs <= 0) {
				reach.noteFailedRound(startedAt);
				return false;
			}

			if (!list) {
				await delay(Math.min(leftMs, FIRST_LIST_CHECK_MS));
				continue;
			}

			const holders = orderHolders(listAllHolders(list), {remoteOf: holder => linkTo(holder).remote(), dataCentre, program});
			const result = await askHolders({
				list, linkTo, holders, firstCount: kind === 'one' ? 1 : countFirst(list, losses), ask, onAnswer: startRound(list), timeoutMs: leftMs, readList,
			});
			if (result.kind === 'too-few') {
				reach.noteFailedRound(startedAt);
			}

			if (result.kind !== 'newer') {
				return result.kind === 'enough';
			}

			adoptList(result.list);
		}
	};

	const settle: TurnKeeper['settle'] = async ({program, attempt, tokens, retentionMs}, turn, timeoutMs) => {
		const expiresAtMs = Date.now() + retentionMs + CLOCK_SLACK_MS;
		const kept = turn && {id: attempt, ...turn, expiresAtMs};
		return askQuorum(program, listVersion => ({
			case: 'settleTurn', value: {
				listVersion, program, use: {attempt, tokens, settled: true}, expiresAtMs, turn: kept,
			},
		}), 'write', timeoutMs, list => {
			const stored = new Set<string>();
			return ({diskId}, answer) => {
				if (answer.case === 'acknowledged') {
					stored.add(diskId);
				}

				return hasQuorum(list, 'write', stored, losses);
			};
		});
	};

	const reserve: TurnKeeper['reserve'] = async ({program, attempt, tokens, retentionMs, budget}, timeoutMs) => {
		if (spent.isSpent(program, tokens, budget)) {
			return 'spent';
		}

		const expiresAtMs = Date.now() + retentionMs + CLOCK_SLACK_MS;
		const uses = new Map<string, TokenUse>();
		const isReserved = await askQuorum(program, listVersion => ({
			case: 'reserveTokens', value: {
				listVersion, program, use: {attempt, tokens, settled: false}, expiresAtMs,
			},
		}), 'write', timeoutMs, list => {
			const answered = new Set<string>();
			return ({diskId}, answer) => {
				if (answer.case === 'tokensReserved') {
					answered.add(diskId);
					sumUses.merge(uses, answer.value.uses);
				}

				return hasQuorum(list, 'write', answered, losses) && hasQuorum(list, 'read', answered, losses);
			};
		});
		if (!isReserved) {
			return 'unavailable';
		}

		if (sumUses.total(uses) <= budget) {
			return 'reserved';
		}

		spent.note(program, sumUses.totalSettled(uses));
		return 'over-budget';
	};

	/** Asks for `turn` and those before it; a chain may be spread over holders, so what comes back may end early. */
	const readPart = async (program: string, turn: string, timeoutMs: number): Promise<{readonly turns: readonly KeptTurn[]; readonly isAnswered: boolean}> => {
		let longest: readonly KeptTurn[] = [];
		const isAnswered = await askQuorum(program, listVersion => ({case: 'readTurns', value: {listVersion, turn}}), 'one', timeoutMs, list => {
			const answered = new Set<string>();
			return ({diskId}, answer) => {
				if (answer.case === 'turns') {
					answered.add(diskId);
					longest = answer.value.turns.length > longest.length ? answer.value.turns : longest;
				}

				return longest.length > 0 || hasQuorum(list, 'read', answered, losses);
			};
		});
		return {turns: longest, isAnswered};
	};

	const readTurns: TurnKeeper['readTurns'] = async (program, turn, timeoutMs) => {
		const deadline = Date.now() + timeoutMs;
		const chain: KeptTurn[] = [];
		for (let next = turn; next !== '';) {
			const {turns, isAnswered} = await readPart(program, next, deadline - Date.now());
			if (turns.length === 0) {
				// A part of the chain that nobody has while the rest is there is no proof that the turn never was.
				return {kind: isAnswered && chain.length === 0 ? 'unknown' : 'unavailable'};
			}

			chain.push(...turns);
			next = turns.at(-1)!.previous;
		}

		return {kind: 'found', turns: chain.toReversed()};
	};

	return {
		reserve, readTurns, settle, isReady: reach.isReachable, cutOffForMs: reach.cutOffForMs,
	};
};
