/**
Asks as many holders as are needed and stops at the first quorum. The others are
asked once one of the first is slow, fails or has too little to say, so that a
lost holder costs a moment and a message to each is not the rule.

A holder that goes by another version of the list answers with its own: the
newer list is taken over and the round begins again under it.
*/
import {setTimeout as delay} from 'node:timers/promises';
import type {PeerLink} from '@siskinhub/peer/peer-link.js';
import type {Body} from '@siskinhub/peer/body.js';
import type {BodyInit} from '@siskinhub/peer/body-init.js';
import {askHolder} from '../holders/ask-holder.js';
import {fromWireList} from '../holders/from-wire-list.js';
import type {Holder} from '../holders/holder.js';
import type {HolderList} from '../holders/holder-list.js';
import {toWireList} from '../holders/to-wire-list.js';

type Round = {
	readonly list: HolderList;
	readonly linkTo: (holder: Holder) => PeerLink;
	/** All holders, those to be asked first at the front. */
	readonly holders: readonly Holder[];
	/** Holders that are asked at once. */
	readonly firstCount: number;
	readonly ask: (listVersion: number) => BodyInit;
	/** Takes an answer in; returns whether the answers so far suffice. */
	readonly onAnswer: (holder: Holder, answer: Body) => boolean;
	readonly timeoutMs: number;
	/** The newest list that is known; a round under an older one is of no more use. */
	readonly readList: () => HolderList | undefined;
};

/** `enough`, `newer` with the list to go by, or `too-few` once the time is up. */
type RoundResult = {readonly kind: 'enough' | 'too-few'} | {readonly kind: 'newer'; readonly list: HolderList};

/** Wait before a holder whose link broke is asked again, so that a dead one is not dialled in a loop. */
const RETRY_MS = 100;
/** How often a waiting round looks for a newer list. */
const LIST_CHECK_MS = 150;
/** Several times what a sync of the disk and the way there and back take. */
const HEDGE_AFTER_MS = 40;

/** Runs one round under one version of the list. */
export const askHolders = async ({list, linkTo, holders, firstCount, ask, onAnswer, timeoutMs, readList}: Round): Promise<RoundResult> => new Promise(resolve => {
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
	}, LIST_CHECK_MS);

	const takeAnswer = async (holder: Holder, answer: Body): Promise<'again' | 'done'> => {
		if (answer.case !== 'wrongHolders') {
			if (answer.case !== 'refused' && onAnswer(holder, answer)) {
				finish({kind: 'enough'});
			}

			pending--;
			if (pending === 0 && !isDone) {
				askRest();
			}

			return 'done';
		}

		const theirs = fromWireList(answer.value.list);
		if (theirs && theirs.version > list.version) {
			finish({kind: 'newer', list: theirs});
			return 'done';
		}

		await askHolder(linkTo(holder), holder, {case: 'adoptHolders', value: {list: toWireList(list)}}, deadline - Date.now());
		return 'again';
	};

	const askOne = async (holder: Holder): Promise<void> => {
		const answer = await askHolder(linkTo(holder), holder, ask(list.version), deadline - Date.now());
		if (isDone || (answer.isOk() && await takeAnswer(holder, answer.value) === 'done')) {
			return;
		}

		if (answer.isErr()) {
			askRest();
			await delay(RETRY_MS);
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

	const hedgeTimer = setTimeout(askRest, HEDGE_AFTER_MS);
	let pending = Math.min(firstCount, holders.length);
	for (const holder of holders.slice(0, firstCount)) {
		void askOne(holder);
	}
});
