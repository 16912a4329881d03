/**
Reads how many requests of a workspace this process may grant in any window, as the
list of registered holders and its own start tell.

Failures: a disk is replaced while the old one is cut off and goes on granting; an
issuer restarts and has forgotten what it granted; one is frozen and comes back with
an old list. No issuer may grant more than its part by any list that another may
still grant by. So a part that grows does so only after the old list has ceased to
hold anywhere, one that shrinks does so at once, and an issuer that may have missed a
change, since it has heard neither of the declared state nor of most other issuers,
grants nothing.
*/
import type {Holder} from '@siskinhub/turns/membership/holder.js';
import {computePaceShares} from './compute-pace-shares.js';
import {computeRegainedShare} from './compute-regained-share.js';
import {computeRoom} from './compute-room.js';
import type {deriveGrantTimes} from './grant-times.js';
import {orderQuotaIssuers} from './order-quota-issuers.js';
import type {QuotaBounds} from './quota-bounds.js';
import type {QuotaLimit} from './quota-limit.js';

/** `undefined`: not among the issuers. */
type Place = {readonly position: number; readonly count: number} | undefined;

const toList = (diskIds: readonly string[]): string => diskIds.join(' ');

type RoomReaderOptions = {
	readonly diskId: string;
	/** Whether the disk was created at the start of this process. */
	readonly isNewDisk: boolean;
	readonly bounds: QuotaBounds;
	readonly times: ReturnType<typeof deriveGrantTimes>;
	/** Empty until the declared state has been read. */
	readonly listDisks: () => readonly Holder[];
	/** Whether the other holder has been heard of just now. */
	readonly isHeard: (holder: Holder) => boolean;
	/** Milliseconds since the declared state was read. */
	readonly unreadForMs: () => number;
	/** Reads a monotonic clock, in milliseconds. */
	readonly now: () => number;
};

export const createRoomReader = ({diskId, isNewDisk, bounds, times, listDisks, isHeard, unreadForMs, now}: RoomReaderOptions) => {
	// With a new disk, others may have granted its part before its start.
	const start = {place: undefined, countsUntil: now() + times.settledAfterMs};
	let past: ReadonlyArray<{readonly place: Place; readonly countsUntil: number}> = isNewDisk ? [start] : [];
	let current: {readonly place: Place; readonly list: string; readonly since: number} | undefined;
	let inTouchAt = now();
	const startedAt = now();
	const known = new Set<string>();
	// When something was last granted by each list of issuers.
	const grantedAt = new Map<string, number>();

	/** The share of its part that the process may grant again since its start. */
	const regain = (limit: QuotaLimit): number => computeRegainedShare({
		sinceMs: now() - startedAt, windowMs: bounds.windowMs, times, pace: computePaceShares(limit, bounds),
	});

	const findPlace = (issuers: readonly Holder[]): Place => {
		const position = issuers.findIndex(holder => holder.diskId === diskId);
		return position === -1 ? undefined : {position, count: issuers.length};
	};

	const notePast = (place: Place, forMs: number): void => {
		past = [...past, {place, countsUntil: now() + forMs}];
	};

	const noteTouch = (issuers: readonly Holder[]): void => {
		const heard = issuers.filter(holder => holder.diskId === diskId || isHeard(holder));
		if (unreadForMs() >= times.maxAloneMs && heard.length <= issuers.length / 2) {
			return;
		}

		if (now() - inTouchAt > times.maxAloneMs) {
			// What changed meanwhile is known only after this time.
			notePast(undefined, times.applyWithinMs);
		}

		inTouchAt = now();
	};

	const notePlace = (place: Place, list: string): void => {
		if (current && (current.place?.position !== place?.position || current.place?.count !== place?.count)) {
			notePast(current.place, times.settledAfterMs);
		}

		current = {place, list, since: current?.list === list ? current.since : now()};
		past = past.filter(({countsUntil}) => countsUntil > now());
	};

	const observe = (): void => {
		const issuers = orderQuotaIssuers(listDisks());
		if (issuers.length > 0) {
			noteTouch(issuers);
			notePlace(findPlace(issuers), toList(issuers.map(holder => holder.diskId)));
			for (const holder of issuers) {
				known.add(holder.diskId);
			}
		}
	};

	return {
		/** Must be called at least every few seconds, so that a time alone or a pause is noticed. */
		observe,
		/** Requests of a workspace with this limit that may count at this issuer at any time from now on. */
		read(limit: QuotaLimit): number {
			observe();
			if (!current || now() - inTouchAt > times.maxAloneMs) {
				return 0;
			}

			const places = [current.place, ...past.map(({place}) => place)];
			const whole = Math.min(...places.map(place => place ? computeRoom(limit, bounds, place) : 0));
			const room = isNewDisk ? whole : Math.floor(whole * regain(limit));
			if (room > 0) {
				grantedAt.set(current.list, now());
			}

			return room;
		},
		/** Milliseconds for which the list has been the same, if a new disk still waits for its part; otherwise `undefined`. */
		waitingSinceMs: (): number | undefined => isNewDisk && past.includes(start) ? (current ? now() - current.since : 0) : undefined,
		/** Ends the wait of a new disk, because all issuers agree and nothing that was granted by another list counts any more. */
		endWait(): void {
			past = past.filter(entry => entry !== start);
		},
		/** All disks that were issuers as far as this process knows. */
		listKnown: (): readonly string[] => [...known],
		noteKnown(diskIds: readonly string[]): void {
			for (const id of diskIds) {
				known.add(id);
			}
		},
		/** Whether this process knows the same issuers, and nothing counts that it granted while it knew others. */
		agreesWith(diskIds: readonly string[]): boolean {
			observe();
			const list = toList(diskIds);
			const hasLapsed = [...grantedAt].every(([other, at]) => other === list || now() - at > times.forgottenAfterMs);
			const knowsPast = isNewDisk || now() - startedAt > times.settledAfterMs;
			return current?.list === list && hasLapsed && knowsPast;
		},
	};
};
