/**
Stores turns, token uses and the origins of streams on the disks of a program's replica group by quorum.
No owner or leader is needed: a turn never changes once written and a program's
uses only grow, so the holders need not agree on an order.
*/
import {MAX_DEFERRAL_MS} from '@siskinhub/peer/max-deferral-ms.js';
import type {PeerLink} from '@siskinhub/peer/peer-link.js';
import {countFirstAsked} from '../membership/count-first-asked.js';
import type {Holder} from '../membership/holder.js';
import type {HolderList} from '../membership/holder-list.js';
import {findGroup} from '../membership/find-group.js';
import type {GroupId} from '../membership/group-id.js';
import {orderHolders} from '../membership/order-holders.js';
import {askHolders} from './ask-holders.js';
import type {AskQuorum} from './ask-quorum.js';
import {createChainReader} from './create-chain-reader.js';
import {createGroupMonitors} from './create-group-monitors.js';
import {createHedgeDelay} from './create-hedge-delay.js';
import {createOriginClient} from './create-origin-client.js';
import {createOutputClient} from './create-output-client.js';
import {createTokenReserver} from './create-token-reserver.js';
import {createTurnFinder} from './create-turn-finder.js';
import {createTurnWriter} from './create-turn-writer.js';
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
	/** The data centre of this process; of the holders that have a program's data, its own are asked first. */
	readonly dataCentre: string;
};

/** Unlike the promises of `node:timers/promises`, this follows a clock that a test advances. */
const wait = async (ms: number): Promise<void> => new Promise(resolve => {
	setTimeout(resolve, ms);
});

export const createHolderClient = ({readList, adoptList, linkTo, losses, dataCentre}: ClientOptions): HolderClient => {
	const hedge = createHedgeDelay();
	const monitors = createGroupMonitors({readList, linkTo, losses});

	/** Repeats the round under each newer list until there are enough answers or the timeout has passed. `one` asks one holder first, the others a write quorum. */
	const askQuorum: AskQuorum = async ({program, group}, buildRequest, kind, timeoutMs, createAnswerHandler) => {
		const startedAt = performance.now();
		const canWait = kind === 'write-later';
		const deadline = Date.now() + timeoutMs;
		for (;;) {
			const list = readList(group);
			const leftMs = deadline - Date.now();
			if (leftMs <= 0) {
				monitors.recordFailedRound(group, startedAt);
				return false;
			}

			if (!list) {
				await wait(Math.min(leftMs, FIRST_LIST_CHECK_INTERVAL_MS));
				continue;
			}

			const holders = orderHolders(list, {
				getRemote: holder => linkTo(holder).remote(), dataCentre, program, losses,
			});
			const roundStartedAt = performance.now();
			const result = await askHolders({
				group,
				list,
				linkTo,
				holders,
				firstCount: kind === 'one' ? 1 : countFirstAsked(list, holders, losses),
				buildRequest,
				onAnswer: createAnswerHandler(list),
				timeoutMs: leftMs,
				hedgeDelayMs: hedge.delayMs() + (canWait ? 2 * MAX_DEFERRAL_MS : 0),
				canWait,
				readList: () => readList(group),
			});
			if (result.kind === 'enough' && !canWait) {
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

	const quorum = {askQuorum, losses};
	const reserver = createTokenReserver({...quorum, slackMs: CLOCK_SLACK_MS});
	return {
		reserve: reserver.reserve,
		settle: createTurnWriter({...quorum, slackMs: CLOCK_SLACK_MS, takeReservation: reserver.take}),
		readTurns: createChainReader({...quorum, findTurn: createTurnFinder({readList, linkTo, losses}), takeChain: reserver.takeChain}),
		...createOriginClient({...quorum, slackMs: CLOCK_SLACK_MS, isStoredWithTokens: reserver.isStoredWithTokens}),
		...createOutputClient({askQuorum, readList, linkTo}),
		isReady: monitors.isReady,
		isCutOff: monitors.isCutOff,
		cutOffForMs: program => monitors.cutOffForMs(findGroup(program)),
	};
};
