/**
Sends one request to as many holders of a replica group as a quorum needs and resolves as soon as
the answers suffice. The remaining holders are asked only if one of the first is
slow or fails, or if the first answers do not suffice: a lost holder then costs
one hedge delay, and the normal case does not need a message to every holder.

A holder that uses another version of the list answers with its own version. If
the holder's list is newer, the round ends and the caller starts a new one under
that list; if it is older, the holder is sent this list and asked again.
*/
import {setTimeout as delay} from 'node:timers/promises';
import type {PeerLink} from '@siskinhub/peer/peer-link.js';
import type {MessageBody} from '@siskinhub/peer/message-body.js';
import type {MessageBodyInit} from '@siskinhub/peer/message-body-init.js';
import {askHolder} from '../membership/ask-holder.js';
import {fromWireList} from '../membership/from-wire-list.js';
import type {GroupId} from '../membership/group-id.js';
import type {Holder} from '../membership/holder.js';
import type {HolderList} from '../membership/holder-list.js';
import {toWireList} from '../membership/to-wire-list.js';

/** `enough`: the answers so far suffice. `more`: other answers are needed. `again`: the same holder must be sent another request, which `buildRequest` builds. */
type RoundStep = 'enough' | 'more' | 'again';

type Round = {
	readonly group: GroupId;
	readonly list: HolderList;
	readonly linkTo: (holder: Holder) => PeerLink;
	/** All holders of the group, in the order in which to ask them. */
	readonly holders: readonly Holder[];
	/** How many holders are asked immediately. */
	readonly firstCount: number;
	readonly buildRequest: (listVersion: number, holder: Holder) => MessageBodyInit;
	/** Handles one answer. */
	readonly onAnswer: (holder: Holder, answer: MessageBody) => RoundStep;
	readonly timeoutMs: number;
	/** Delay after which the remaining holders are asked too. */
	readonly hedgeDelayMs: number;
	/** Whether nobody waits for the round, so that its messages may; see `CallOptions`. */
	readonly canWait: boolean;
	/** Returns the group's newest known list; a round under an older one is abandoned. */
	readonly readList: () => HolderList | undefined;
};

/** `enough`: the answers suffice. `newer`: the round must be repeated under `list`. `too-few`: the timeout has passed. */
type RoundResult = {readonly kind: 'enough' | 'too-few'} | {readonly kind: 'newer'; readonly list: HolderList};

/** Delay before a holder whose request failed is asked again, so that a dead holder is not dialled in a tight loop. */
const RETRY_DELAY_MS = 100;
/** How often a waiting round checks for a newer list. */
const LIST_CHECK_INTERVAL_MS = 150;

/** Runs one round under one version of the list; the returned promise never rejects. */
export const askHolders = async ({
	group, list, linkTo, holders, firstCount, buildRequest, onAnswer, timeoutMs, hedgeDelayMs, canWait, readList,
}: Round): Promise<RoundResult> => new Promise(resolve => {
	const deadline = Date.now() + timeoutMs;
	let isDone = false;
	const finish = (result: RoundResult): void => {
		if (!isDone) {
			isDone = true;
			clearTimeout(timer);
			clearInterval(listTimer);
			clearTimeout(hedgeTimer);
			resolve(result);
		}
	};

	const timer = setTimeout(() => {
		finish({kind: 'too-few'});
	}, timeoutMs);
	const listTimer = setInterval(() => {
		const newest = readList();
		if (newest && newest.version > list.version) {
			finish({kind: 'newer', list: newest});
		}
	}, LIST_CHECK_INTERVAL_MS);

	const handleAnswer = async (holder: Holder, answer: MessageBody): Promise<'again' | 'done'> => {
		if (answer.case !== 'wrongHolders') {
			const step = answer.case === 'refused' ? 'more' : onAnswer(holder, answer);
			if (step === 'again') {
				return 'again';
			}

			if (step === 'enough') {
				finish({kind: 'enough'});
			}

			pending--;
			if (pending === 0 && !isDone) {
				askRest();
			}

			return 'done';
		}

		const holderList = fromWireList(answer.value.list);
		if (holderList && holderList.version > list.version) {
			finish({kind: 'newer', list: holderList});
			return 'done';
		}

		await askHolder(linkTo(holder), holder, {case: 'adoptHolders', value: {group, list: toWireList(list)}}, deadline - Date.now());
		return 'again';
	};

	const askOne = async (holder: Holder): Promise<void> => {
		const answer = await askHolder(linkTo(holder), holder, buildRequest(list.version, holder), deadline - Date.now(), canWait);
		if (isDone || (answer.isOk() && await handleAnswer(holder, answer.value) === 'done')) {
			return;
		}

		if (answer.isErr()) {
			askRest();
			await delay(RETRY_DELAY_MS);
		}

		if (Date.now() < deadline) {
			await askOne(holder);
		}
	};

	let rest = holders.slice(firstCount);
	const askRest = (): void => {
		const others = rest;
		rest = [];
		pending += others.length;
		for (const holder of others) {
			void askOne(holder);
		}
	};

	const hedgeTimer = setTimeout(askRest, hedgeDelayMs);
	let pending = Math.min(firstCount, holders.length);
	for (const holder of holders.slice(0, firstCount)) {
		void askOne(holder);
	}
});
