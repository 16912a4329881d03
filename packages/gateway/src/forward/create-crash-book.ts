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
const DANGEROUS_FROM = 3;
/** A caller that gave up is not expected back after this time; crashes further apart have little to do with each other. */
const KEEP_MS = 60_000;
/** Bounds a heartbeat; a worker under repair breaks off some ten requests a second. */
const MAX_LISTED = 64;
const MAX_KEPT = 2000;

/** Creates a book without entries. `now` is a steady clock in milliseconds. */
export const createCrashBook = (now: () => number): CrashBook => {
	// In the order of the last crash; by upstream, when it was seen.
	const byRequest = new Map<string, Map<string, number>>();

	const add = (fingerprint: string, upstream: string, at: number): void => {
		const crashes = byRequest.get(fingerprint) ?? new Map<string, number>();
		if (crashes.has(upstream) || now() - at >= KEEP_MS) {
			return;
		}

		crashes.set(upstream, at);
		byRequest.delete(fingerprint);
		byRequest.set(fingerprint, crashes);
		for (const [oldest, seen] of byRequest) {
			if (byRequest.size <= MAX_KEPT && [...seen.values()].some(each => now() - each < KEEP_MS)) {
				return;
			}

			byRequest.delete(oldest);
		}
	};

	return {
		note(fingerprint, upstream) {
			add(fingerprint, upstream, now());
		},
		merge(crashes) {
			for (const {fingerprint, upstream, ageMs} of crashes) {
				add(fingerprint, upstream, now() - ageMs);
			}
		},
		list() {
			const crashes: Crash[] = [];
			for (const [fingerprint, upstreams] of [...byRequest].toReversed()) {
				for (const [upstream, at] of upstreams) {
					if (now() - at < KEEP_MS && crashes.length < MAX_LISTED) {
						crashes.push({fingerprint, upstream, ageMs: now() - at});
					}
				}
			}

			return crashes;
		},
		isDangerous: fingerprint => [...byRequest.get(fingerprint)?.values() ?? []].filter(at => now() - at < KEEP_MS).length >= DANGEROUS_FROM,
		isEmpty: () => byRequest.size === 0,
	};
};
