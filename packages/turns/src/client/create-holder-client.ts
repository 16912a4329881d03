/**
Stores turns and token uses on the holders' disks by quorum. No owner or leader
is needed: a turn never changes once written and a program's uses only grow, so
the holders need not agree on an order.

Token budgets hold under concurrency: the write quorums of two processes that
reserve at the same time share a holder, so at least one process sees the
other's reservation. Both may be refused, but the reservations that are granted
never exceed the budget together.
*/
import {setTimeout as delay} from 'node:timers/promises';
import type {KeptTurn, TokenUse} from '@siskinhub/proto/gen/siskinhub/peer/v1/peer_pb.js';
import type {PeerLink} from '@siskinhub/peer/peer-link.js';
import {countQuorum} from '../membership/count-quorum.js';
import {hasQuorum} from '../membership/has-quorum.js';
import type {Holder} from '../membership/holder.js';
import type {HolderList} from '../membership/holder-list.js';
import {listAllHolders} from '../membership/list-all-holders.js';
import {orderHolders} from '../membership/order-holders.js';
import {askHolders} from '../client/ask-holders.js';
import {createQuorumMonitor} from '../client/create-quorum-monitor.js';
import {createSpentBudgetCache} from '../client/create-spent-budget-cache.js';
import {tokenUses} from './token-uses.js';
import type {HolderClient} from './holder-client.js';

/** Added to the retention, since hosts' clocks differ and may jump by seconds. */
const CLOCK_SLACK_MS = 30_000;
/** How often a request that arrived before the first list of holders checks for it. */
const FIRST_LIST_CHECK_INTERVAL_MS = 20;

type ClientOptions = {
	/** Returns the newest list that this process knows. */
	readonly readList: () => HolderList | undefined;
	/** Called with a newer list that a holder sent. */
	readonly adoptList: (list: HolderList) => void;
	readonly linkTo: (holder: Holder) => PeerLink;
	/** Number of disks that may be lost at the same time. */
	readonly losses: number;
	/** The data centre of this process; its holders are asked first. */
	readonly dataCentre: string;
};

type BuildRequest = Parameters<typeof askHolders>[0]['buildRequest'];
type CreateAnswerHandler = (list: HolderList) => Parameters<typeof askHolders>[0]['onAnswer'];

/** A write quorum; all holders while the list is changing, since both lists then need a quorum. */
const chooseFirstCount = (list: HolderList, losses: number): number => list.next ? Infinity : countQuorum(list.current.length, losses).write;

export const createHolderClient = ({readList, adoptList, linkTo, losses, dataCentre}: ClientOptions): HolderClient => {
	const spentBudgets = createSpentBudgetCache();
	const quorumMonitor = createQuorumMonitor(withinMs => {
		const list = readList();
		if (!list) {
			return false;
		}

		const recentlyHeard = listAllHolders(list).filter(holder => {
			const link = linkTo(holder);
			return link.remote() && link.silentForMs() <= withinMs;
		});
		return hasQuorum(list, 'write', new Set(recentlyHeard.map(({diskId}) => diskId)), losses);
	});

	/** Repeats the round under each newer list until there are enough answers or the timeout has passed. `one` asks one holder first, `write` a write quorum. */
	const askQuorum = async (program: string, buildRequest: BuildRequest, kind: 'one' | 'write', timeoutMs: number, createAnswerHandler: CreateAnswerHandler): Promise<boolean> => {
		const startedAt = performance.now();
		const deadline = Date.now() + timeoutMs;
		for (;;) {
			const list = readList();
			const leftMs = deadline - Date.now();
			if (leftMs <= 0) {
				quorumMonitor.recordFailedRound(startedAt);
				return false;
			}

			if (!list) {
				await delay(Math.min(leftMs, FIRST_LIST_CHECK_INTERVAL_MS));
				continue;
			}

			const holders = orderHolders(listAllHolders(list), {getRemote: holder => linkTo(holder).remote(), dataCentre, program});
			const result = await askHolders({
				list, linkTo, holders, firstCount: kind === 'one' ? 1 : chooseFirstCount(list, losses), buildRequest, onAnswer: createAnswerHandler(list), timeoutMs: leftMs, readList,
			});
			if (result.kind === 'too-few') {
				quorumMonitor.recordFailedRound(startedAt);
			}

			if (result.kind !== 'newer') {
				return result.kind === 'enough';
			}

			adoptList(result.list);
		}
	};

	const settle: HolderClient['settle'] = async ({program, attempt, tokens, retentionMs}, turn, timeoutMs) => {
		const expiresAtMs = Date.now() + retentionMs + CLOCK_SLACK_MS;
		const turnToStore = turn && {id: attempt, ...turn, expiresAtMs};
		return askQuorum(program, listVersion => ({
			case: 'settleTurn', value: {
				listVersion, program, use: {attempt, tokens, settled: true}, expiresAtMs, turn: turnToStore,
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

	const reserve: HolderClient['reserve'] = async ({program, attempt, tokens, retentionMs, budget}, timeoutMs) => {
		if (spentBudgets.isSpent(program, tokens, budget)) {
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
					tokenUses.merge(uses, answer.value.uses);
				}

				return hasQuorum(list, 'write', answered, losses) && hasQuorum(list, 'read', answered, losses);
			};
		});
		if (!isReserved) {
			return 'unavailable';
		}

		if (tokenUses.sum(uses) <= budget) {
			return 'reserved';
		}

		spentBudgets.update(program, tokenUses.sumSettled(uses));
		return 'over-budget';
	};

	/** Reads `turn` and the turns before it, newest first. The turns of a chain may be on different holders, so the result may end before the start of the chain. */
	const readChainPart = async (program: string, turn: string, timeoutMs: number): Promise<{readonly turns: readonly KeptTurn[]; readonly isAnswered: boolean}> => {
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

	const readTurns: HolderClient['readTurns'] = async (program, turn, timeoutMs) => {
		const deadline = Date.now() + timeoutMs;
		const chain: KeptTurn[] = [];
		for (let next = turn; next !== '';) {
			const {turns, isAnswered} = await readChainPart(program, next, deadline - Date.now());
			if (turns.length === 0) {
				// If later turns were found, a missing earlier one does not prove that `turn` is unknown.
				return {kind: isAnswered && chain.length === 0 ? 'unknown' : 'unavailable'};
			}

			chain.push(...turns);
			next = turns.at(-1)!.previous;
		}

		return {kind: 'found', turns: chain.toReversed()};
	};

	return {
		reserve, readTurns, settle, isReady: quorumMonitor.isReachable, cutOffForMs: quorumMonitor.cutOffForMs,
	};
};
