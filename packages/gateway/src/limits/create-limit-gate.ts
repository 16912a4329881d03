/**
Asks for a permit before each request to an upstream that named a limit.

The holder that issues the permits of an upstream may be down, frozen or cut off.
Then the next holder in the order of the upstream is asked, which issues fewer.
Without any, the upstream gets nothing: what this process would send on its own,
every other process might send as well.
*/
import type {PeerLink} from '@siskinhub/peer/peer-link.js';
import {askHolder} from '@siskinhub/turns/membership/ask-holder.js';
import type {Holder} from '@siskinhub/turns/membership/holder.js';
import {identifyStart} from '../upstreams/identify-start.js';
import type {Permit} from './permit.js';
import {fromWireLimit} from './from-wire-limit.js';
import type {LimitBook} from './limit-book.js';
import type {LimitGate} from './limit-gate.js';
import {orderIssuers} from './order-issuers.js';
import {toWireLimit} from './to-wire-limit.js';

/** A holder answers within a few milliseconds; the request can still go to another upstream. */
const PERMIT_TIMEOUT_MS = 150;
/** A holder whose link is silent for longer has missed a heartbeat. */
const MAX_SILENCE_MS = 1200;
/** A holder that did not answer is not asked again for this time. */
const SUSPECT_MS = 1000;
const MAX_ISSUERS_ASKED = 2;
/** Wait if no holder can be asked. */
const NO_ISSUER_WAIT_MS = 300;
const MS_PER_S = 1000;
const MAX_REFUSED_WAIT_MS = 1000;

type LimitGateOptions = {
	readonly limits: LimitBook;
	readonly listDisks: () => readonly Holder[];
	readonly linkTo: (holder: Holder) => PeerLink;
	/** Reads a monotonic clock, in milliseconds; the same as that of `limits`. */
	readonly now: () => number;
	/** Called when a request was permitted to a limited upstream, or withheld from it; `upstream` as `identifyStart` names it. */
	readonly onDecided: (upstream: string, outcome: 'sent' | 'withheld') => void;
};

export const createLimitGate = ({limits, listDisks, linkTo, now, onDecided}: LimitGateOptions): LimitGate => {
	const withheldUntil = new Map<string, number>();
	const suspectUntil = new Map<string, number>();

	const withhold = (start: string, waitMs: number): void => {
		withheldUntil.set(start, now() + waitMs);
	};

	const isAskable = (holder: Holder): boolean => {
		const link = linkTo(holder);
		return link.remote()?.dataFolderId === holder.diskId && link.silentForMs() < MAX_SILENCE_MS && now() >= (suspectUntil.get(holder.diskId) ?? 0);
	};

	/** Returns `undefined` if the holder does not answer in time. */
	const askIssuer = async (holder: Holder, start: string): Promise<Permit | undefined> => {
		const limit = limits.describe(start);
		const answer = await askHolder(linkTo(holder), holder, {case: 'acquirePermit', value: {limit: limit && toWireLimit(limit)}}, PERMIT_TIMEOUT_MS);
		if (answer.isErr() || answer.value.case !== 'permit') {
			suspectUntil.set(holder.diskId, now() + SUSPECT_MS);
			return undefined;
		}

		const {granted, waitMs, limit: known} = answer.value.value;
		limits.merge(known ? [fromWireLimit(known)] : []);
		return granted ? {kind: 'granted'} : {kind: 'denied', waitMs};
	};

	const askIssuers = async (start: string): Promise<Permit> => {
		const issuers = orderIssuers(start, listDisks()).filter(holder => isAskable(holder)).slice(0, MAX_ISSUERS_ASKED);
		for (const issuer of issuers) {
			const permit = await askIssuer(issuer, start);
			if (permit) {
				return permit;
			}
		}

		return {kind: 'denied', waitMs: NO_ISSUER_WAIT_MS};
	};

	return {
		now,
		isLimited: upstream => !limits.isEmpty() && limits.get(identifyStart(upstream)) !== undefined,
		waitMs(upstream) {
			if (limits.isEmpty()) {
				return 0;
			}

			const start = identifyStart(upstream);
			return limits.get(start) === undefined ? 0 : Math.max(0, (withheldUntil.get(start) ?? 0) - now());
		},
		async acquire(upstream) {
			const start = identifyStart(upstream);
			if (limits.get(start) === undefined) {
				return true;
			}

			const permit = await askIssuers(start);
			const isGranted = permit.kind === 'granted';
			if (!isGranted) {
				withhold(start, permit.waitMs);
			}

			onDecided(start, isGranted ? 'sent' : 'withheld');
			return isGranted;
		},
		recordAnswer(upstream, perSecond, sentAt) {
			limits.record(identifyStart(upstream), perSecond, sentAt);
		},
		recordRefusal(upstream) {
			const start = identifyStart(upstream);
			const perSecond = limits.get(start);
			if (perSecond !== undefined) {
				withhold(start, Math.min(MAX_REFUSED_WAIT_MS, MS_PER_S / perSecond));
			}
		},
		forget(upstream) {
			const start = identifyStart(upstream);
			limits.forget(start);
			withheldUntil.delete(start);
		},
	};
};
