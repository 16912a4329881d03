/**
Recognises a request that crashes each upstream which begins to run it, so that
it does not take one upstream after the other down.

Pattern of load: the request comes again from its caller, with the same bytes,
at any process. What one process saw reaches the others with the heartbeats of
the links to the holders, which pass on what they were told; each process
decides by itself. One crash proves nothing: upstreams also die by themselves,
and connections are reset. The same request on three different upstreams does.
*/
import type {Crash} from './crash.js';
import type {CrashBook} from './crash-book.js';

/** Upstreams that a request has to break off at before it is sent to no other. */
const MIN_CRASHED_UPSTREAMS = 3;
/** A caller that gave up is not expected back after this time; crashes further apart have little to do with each other. */
const CRASH_TTL_MS = 60_000;
/** Bounds a heartbeat; a worker under repair breaks off some ten requests a second. */
const MAX_LISTED_CRASHES = 64;
const MAX_TRACKED_REQUESTS = 2000;

/** Creates a book without entries. `now` is a steady clock in milliseconds. */
export const createCrashBook = (now: () => number): CrashBook => {
	// In the order of the last crash; by upstream, when it was seen.
	const crashesByFingerprint = new Map<string, Map<string, number>>();

	const addCrash = (fingerprint: string, upstream: string, at: number): void => {
		const crashTimes = crashesByFingerprint.get(fingerprint) ?? new Map<string, number>();
		if (crashTimes.has(upstream) || now() - at >= CRASH_TTL_MS) {
			return;
		}

		crashTimes.set(upstream, at);
		crashesByFingerprint.delete(fingerprint);
		crashesByFingerprint.set(fingerprint, crashTimes);
		for (const [oldest, times] of crashesByFingerprint) {
			if (crashesByFingerprint.size <= MAX_TRACKED_REQUESTS && [...times.values()].some(each => now() - each < CRASH_TTL_MS)) {
				return;
			}

			crashesByFingerprint.delete(oldest);
		}
	};

	return {
		record(fingerprint, upstream) {
			addCrash(fingerprint, upstream, now());
		},
		merge(crashes) {
			for (const {fingerprint, upstream, ageMs} of crashes) {
				addCrash(fingerprint, upstream, now() - ageMs);
			}
		},
		list() {
			const crashes: Crash[] = [];
			for (const [fingerprint, upstreams] of [...crashesByFingerprint].toReversed()) {
				for (const [upstream, at] of upstreams) {
					if (now() - at < CRASH_TTL_MS && crashes.length < MAX_LISTED_CRASHES) {
						crashes.push({fingerprint, upstream, ageMs: now() - at});
					}
				}
			}

			return crashes;
		},
		isDangerous: fingerprint => [...crashesByFingerprint.get(fingerprint)?.values() ?? []].filter(at => now() - at < CRASH_TTL_MS).length >= MIN_CRASHED_UPSTREAMS,
		isEmpty: () => crashesByFingerprint.size === 0,
	};
};
