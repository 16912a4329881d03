/**
Keeps turns and token budgets on the holders' disks, by quorum and without an
owner: a turn never changes once written and a program's uses only grow, so no
order has to be agreed on.

Two daemons that reserve at once have a holder in common, so at least one of
them sees the other; both may be refused, but never do both pass the budget.
*/
import type {KeptTurn, TokenUse} from '@siskinhub/proto/gen/siskinhub/peer/v1/peer_pb.js';
import type {PeerLink} from '@siskinhub/peer/peer-link.js';
import {hasQuorum} from '../holders/has-quorum.js';
import type {Holder} from '../holders/holder.js';
import type {HolderList} from '../holders/holder-list.js';
import {askHolders} from './ask-holders.js';
import {sumUses} from './sum-uses.js';
import type {TurnKeeper} from './turn-keeper.js';

/** Kept beyond the retention, since hosts' clocks differ and may jump by seconds. */
const CLOCK_SLACK_MS = 30_000;

type KeeperOptions = {
	/** The newest list that is known here. */
	readonly readList: () => HolderList | undefined;
	/** Takes over a newer list that a holder told of. */
	readonly adoptList: (list: HolderList) => void;
	readonly linkTo: (holder: Holder) => PeerLink;
	/** Disks that may be lost at once. */
	readonly losses: number;
};

type Ask = Parameters<typeof askHolders>[0]['ask'];

/** Creates the client of the holders. */
export const createTurnKeeper = ({readList, adoptList, linkTo, losses}: KeeperOptions): TurnKeeper => {
	/** Repeats a round under each newer list until it has enough answers or the time is up. */
	const askQuorum = async (ask: Ask, timeoutMs: number, startRound: (list: HolderList) => Parameters<typeof askHolders>[0]['onAnswer']): Promise<boolean> => {
		const deadline = Date.now() + timeoutMs;
		for (;;) {
			const list = readList();
			const leftMs = deadline - Date.now();
			if (!list || leftMs <= 0) {
				return false;
			}

			const result = await askHolders({
				list, linkTo, ask, onAnswer: startRound(list), timeoutMs: leftMs, readList,
			});
			if (result.kind !== 'newer') {
				return result.kind === 'enough';
			}

			adoptList(result.list);
		}
	};

	const settle: TurnKeeper['settle'] = async ({program, attempt, tokens, retentionMs}, turn, timeoutMs) => {
		const expiresAtMs = Date.now() + retentionMs + CLOCK_SLACK_MS;
		const kept = turn && {id: attempt, ...turn, expiresAtMs};
		return askQuorum(listVersion => ({
			case: 'settleTurn', value: {
				listVersion, program, use: {attempt, tokens, settled: true}, expiresAtMs, turn: kept,
			},
		}), timeoutMs, list => {
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
		const expiresAtMs = Date.now() + retentionMs + CLOCK_SLACK_MS;
		const uses = new Map<string, TokenUse>();
		const isReserved = await askQuorum(listVersion => ({
			case: 'reserveTokens', value: {
				listVersion, program, use: {attempt, tokens, settled: false}, expiresAtMs,
			},
		}), timeoutMs, list => {
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

		return sumUses.total(uses) <= budget ? 'reserved' : 'over-budget';
	};

	const readTurns: TurnKeeper['readTurns'] = async (turn, timeoutMs) => {
		const found = new Map<string, KeptTurn>();
		const chain: KeptTurn[] = [];
		const extend = (): string => {
			let next = chain.at(-1)?.previous ?? turn;
			for (let held = found.get(next); held; held = found.get(next)) {
				chain.push(held);
				next = held.previous;
			}

			return next;
		};

		const isAnswered = await askQuorum(listVersion => ({case: 'readTurns', value: {listVersion, turn}}), timeoutMs, list => {
			const answered = new Set<string>();
			return ({diskId}, answer) => {
				if (answer.case === 'turns') {
					answered.add(diskId);
					for (const each of answer.value.turns) {
						found.set(each.id, each);
					}
				}

				return extend() === '' || hasQuorum(list, 'read', answered, losses);
			};
		});
		if (extend() === '') {
			return {kind: 'found', turns: chain.toReversed()};
		}

		// A part of the chain that nobody has while the rest is there is no proof that the turn never was.
		return {kind: isAnswered && chain.length === 0 ? 'unknown' : 'unavailable'};
	};

	return {
		reserve,
		readTurns,
		settle,
		isReady() {
			const list = readList();
			if (!list) {
				return false;
			}

			const reachable = new Set([...list.current, ...list.next ?? []].filter(holder => linkTo(holder).remote()).map(({diskId}) => diskId));
			return hasQuorum(list, 'write', reachable, losses);
		},
	};
};
