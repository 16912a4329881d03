/**
Recognises a request that crashes every upstream that runs it, so that its
retries do not take down one upstream after the other.

Expected load: the caller retries the request with the same bytes, at any
process. Each process reports the crashes it saw in the heartbeats of its links
to the holders, which relay them to the other processes; each process decides by
itself. A single crash proves nothing, since upstreams also crash on their own
and connections are reset. Three different upstreams are taken as proof.
*/
import type {Crash} from './crash.js';
import type {CrashTracker} from './crash-tracker.js';

/** Upstreams at which a request must have broken off before it is blocked. */
const MIN_CRASHED_UPSTREAMS = 3;
/** Callers that gave up do not retry after this time, and crashes further apart are hardly related. */
const CRASH_TTL_MS = 60_000;
/** Bounds the size of a heartbeat; an upstream under repair breaks off about ten requests a second. */
const MAX_LISTED_CRASHES = 64;
const MAX_TRACKED_REQUESTS = 2000;

/** `sequence` numbers the crashes in the order in which this process learnt of them. */
type KnownCrash = {readonly at: number; readonly sequence: number};

type CrashTrackerOptions = {
	/** Reads a monotonic clock, in milliseconds. */
	readonly now: () => number;
	/** Called with each crash that is new here. `source`: whether this process saw it, or another process passed it on. */
	readonly onNoted?: (crash: Crash, source: 'attempt' | 'process') => void;
};

export const createCrashTracker = ({now, onNoted}: CrashTrackerOptions): CrashTracker => {
	// Ordered by the latest crash; each value maps upstreams to their crash.
	const crashesByFingerprint = new Map<string, Map<string, KnownCrash>>();
	let newestSequence = 0;

	const addCrash = (fingerprint: string, upstream: string, at: number, source: 'attempt' | 'process'): void => {
		const crashes = crashesByFingerprint.get(fingerprint) ?? new Map<string, KnownCrash>();
		if (crashes.has(upstream) || now() - at >= CRASH_TTL_MS) {
			return;
		}

		newestSequence++;
		onNoted?.({fingerprint, upstream, ageMs: now() - at}, source);
		crashes.set(upstream, {at, sequence: newestSequence});
		crashesByFingerprint.delete(fingerprint);
		crashesByFingerprint.set(fingerprint, crashes);
		for (const [oldest, times] of crashesByFingerprint) {
			if (crashesByFingerprint.size <= MAX_TRACKED_REQUESTS && [...times.values()].some(each => now() - each.at < CRASH_TTL_MS)) {
				return;
			}

			crashesByFingerprint.delete(oldest);
		}
	};

	const listAfter = (sequence: number): readonly Crash[] => {
		const crashes: Crash[] = [];
		for (const [fingerprint, upstreams] of [...crashesByFingerprint].toReversed()) {
			for (const [upstream, {at, sequence: known}] of upstreams) {
				if (known > sequence && now() - at < CRASH_TTL_MS && crashes.length < MAX_LISTED_CRASHES) {
					crashes.push({fingerprint, upstream, ageMs: now() - at});
				}
			}
		}

		return crashes;
	};

	return {
		record(fingerprint, upstream) {
			addCrash(fingerprint, upstream, now(), 'attempt');
		},
		merge(crashes) {
			for (const {fingerprint, upstream, ageMs} of crashes) {
				addCrash(fingerprint, upstream, now() - ageMs, 'process');
			}
		},
		list: () => listAfter(0),
		listAfter: (cursor = 0) => ({crashes: cursor === newestSequence ? [] : listAfter(cursor), cursor: newestSequence}),
		findBlock(fingerprint) {
			const crashes = [...crashesByFingerprint.get(fingerprint) ?? []]
				.map(([upstream, {at}]) => ({fingerprint, upstream, ageMs: now() - at}))
				.filter(({ageMs}) => ageMs < CRASH_TTL_MS);
			return crashes.length >= MIN_CRASHED_UPSTREAMS ? crashes : undefined;
		},
		isEmpty: () => crashesByFingerprint.size === 0,
	};
};
