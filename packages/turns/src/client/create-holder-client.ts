/**
Stores turns, token uses and the origins of streams on the disks of a program's replica group by quorum.
No owner or leader is needed: a turn never changes once written and a program's
uses only grow, so the holders need not agree on an order.

A turn is acknowledged only once a write quorum has it together with the whole
chain before it, with the expiry of the new turn. Whatever holders miss while they
are away, each disk can then decide alone what to forget. A holder that lacks
earlier turns answers so, and is sent them.

A program may continue from a turn of another program. Such a turn is searched
for in all groups, and its chain is stored again in the program's own group with
the first turn that continues it.

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
import {findGroup} from '../membership/find-group.js';
import type {GroupId} from '../membership/group-id.js';
import {listGroups} from '../membership/list-groups.js';
import {listAllHolders} from '../membership/list-all-holders.js';
import {orderHolders} from '../membership/order-holders.js';
import {askHolders} from '../client/ask-holders.js';
import type {AskQuorum} from '../client/ask-quorum.js';
import type {QuorumPlace} from '../client/quorum-place.js';
import {createGroupMonitors} from '../client/create-group-monitors.js';
import {createHedgeDelay} from '../client/create-hedge-delay.js';
import {createOriginClient} from '../client/create-origin-client.js';
import {createOutputClient} from '../client/create-output-client.js';
import {createSpentBudgetCache} from '../client/create-spent-budget-cache.js';
import {tokenUses} from './token-uses.js';
import type {HolderClient} from './holder-client.js';

/** Added to the retention, since hosts' clocks differ and may jump by seconds. */
const CLOCK_SLACK_MS = 30_000;
/** How often a request that arrived before the first list of holders checks for it. */
const FIRST_LIST_CHECK_INTERVAL_MS = 20;

type ClientOptions = {
	/** Returns the newest list of the group that this process knows. */
	readonly readList: (group: GroupId) => HolderList | undefined;
	/** Called with a newer list that a holder sent. */
	readonly adoptList: (group: GroupId, list: HolderList) => void;
	readonly linkTo: (holder: Holder) => PeerLink;
	/** Number of disks that may be lost at the same time. */
	readonly losses: number;
	/** The data centre of this process; its holders are asked first. */
	readonly dataCentre: string;
};

type ChainRead = {readonly kind: 'found'; readonly turns: readonly KeptTurn[]} | {readonly kind: 'unknown' | 'unavailable'};

/** A write quorum; all holders while the list is changing, since both lists then need a quorum. */
const chooseFirstCount = (list: HolderList, losses: number): number => list.next ? Infinity : countQuorum(list.current.length, losses).write;

export const createHolderClient = ({readList, adoptList, linkTo, losses, dataCentre}: ClientOptions): HolderClient => {
	const spentBudgets = createSpentBudgetCache();
	const hedge = createHedgeDelay();
	const monitors = createGroupMonitors({readList, linkTo, losses});

	/** Repeats the round under each newer list until there are enough answers or the timeout has passed. `one` asks one holder first, `write` a write quorum. */
	const askQuorum: AskQuorum = async ({program, group}, buildRequest, kind, timeoutMs, createAnswerHandler) => {
		const startedAt = performance.now();
		const deadline = Date.now() + timeoutMs;
		for (;;) {
			const list = readList(group);
			const leftMs = deadline - Date.now();
			if (leftMs <= 0) {
				monitors.recordFailedRound(group, startedAt);
				return false;
			}

			if (!list) {
				await delay(Math.min(leftMs, FIRST_LIST_CHECK_INTERVAL_MS));
				continue;
			}

			const holders = orderHolders(listAllHolders(list), {getRemote: holder => linkTo(holder).remote(), dataCentre, program});
			const roundStartedAt = performance.now();
			const result = await askHolders({
				group, list, linkTo, holders, firstCount: kind === 'one' ? 1 : chooseFirstCount(list, losses), buildRequest, onAnswer: createAnswerHandler(list), timeoutMs: leftMs, hedgeDelayMs: hedge.delayMs(), readList: () => readList(group),
			});
			if (result.kind === 'enough') {
				hedge.record(performance.now() - roundStartedAt);
			} else if (result.kind === 'too-few') {
				monitors.recordFailedRound(group, startedAt);
			}

			if (result.kind !== 'newer') {
				return result.kind === 'enough';
			}

			adoptList(group, result.list);
		}
	};

	const settle: HolderClient['settle'] = async ({program, attempt, tokens, retentionMs}, turn, timeoutMs) => {
		const group = findGroup(program);
		const expiresAtMs = Date.now() + retentionMs + CLOCK_SLACK_MS;
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

		const group = findGroup(program);
		const expiresAtMs = Date.now() + retentionMs + CLOCK_SLACK_MS;
		const uses = new Map<string, TokenUse>();
		const isReserved = await askQuorum({program, group}, listVersion => ({
			case: 'reserveTokens', value: {
				group, listVersion, program, use: {attempt, tokens, settled: false}, expiresAtMs,
			},
		}), 'write', timeoutMs, list => {
			const answered = new Set<string>();
			return ({diskId}, answer) => {
				if (answer.case === 'tokensReserved') {
					answered.add(diskId);
					tokenUses.merge(uses, answer.value.uses);
				}

				return hasQuorum(list, 'write', answered, losses) && hasQuorum(list, 'read', answered, losses) ? 'enough' : 'more';
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
	const readChainPart = async (place: QuorumPlace, turn: string, timeoutMs: number): Promise<{readonly turns: readonly KeptTurn[]; readonly isAnswered: boolean}> => {
		let longest: readonly KeptTurn[] = [];
		const isAnswered = await askQuorum(place, listVersion => ({case: 'readTurns', value: {group: place.group, listVersion, turn}}), 'one', timeoutMs, list => {
			const answered = new Set<string>();
			return ({diskId}, answer) => {
				if (answer.case === 'turns') {
					answered.add(diskId);
					longest = answer.value.turns.length > longest.length ? answer.value.turns : longest;
				}

				return longest.length > 0 || hasQuorum(list, 'read', answered, losses) ? 'enough' : 'more';
			};
		});
		return {turns: longest, isAnswered};
	};

	const readChain = async (place: QuorumPlace, turn: string, timeoutMs: number): Promise<ChainRead> => {
		const deadline = Date.now() + timeoutMs;
		const chain: KeptTurn[] = [];
		for (let next = turn; next !== '';) {
			const {turns, isAnswered} = await readChainPart(place, next, deadline - Date.now());
			if (turns.length === 0) {
				// If later turns were found, a missing earlier one does not prove that `turn` is unknown.
				return {kind: isAnswered && chain.length === 0 ? 'unknown' : 'unavailable'};
			}

			chain.push(...turns);
			next = turns.at(-1)!.previous;
		}

		return {kind: 'found', turns: chain.toReversed()};
	};

	/** Resolves as soon as one group has the turn; `unknown` only if every group has answered that it does not. */
	const searchOtherGroups = async (program: string, turn: string, timeoutMs: number): Promise<ChainRead> => {
		const own = findGroup(program);
		const reads = listGroups().filter(group => group !== own).map(async group => readChain({program, group}, turn, timeoutMs));
		const found = Promise.any(reads.map(async read => {
			const result = await read;
			return result.kind === 'found' ? result : Promise.reject(new Error('The group does not have the turn.'));
		}));
		try {
			return await found;
		} catch {
			const results = await Promise.all(reads);
			return {kind: results.every(({kind}) => kind === 'unknown') ? 'unknown' : 'unavailable'};
		}
	};

	const readTurns: HolderClient['readTurns'] = async (program, turn, timeoutMs) => {
		const deadline = Date.now() + timeoutMs;
		const read = await readChain({program, group: findGroup(program)}, turn, timeoutMs);
		if (read.kind !== 'unknown') {
			return read.kind === 'found' ? {...read, isFromOtherGroup: false} : read;
		}

		const searched = await searchOtherGroups(program, turn, deadline - Date.now());
		return searched.kind === 'found' ? {...searched, isFromOtherGroup: true} : searched;
	};

	const origins = createOriginClient({askQuorum, losses, slackMs: CLOCK_SLACK_MS});
	const outputs = createOutputClient({askQuorum, readList, linkTo});

	return {
		reserve, readTurns, settle, ...origins, ...outputs, isReady: monitors.isReady, isCutOff: monitors.isCutOff, cutOffForMs: program => monitors.cutOffForMs(findGroup(program)),
	};
};
