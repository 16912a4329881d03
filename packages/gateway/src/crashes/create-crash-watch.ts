/**
Notes crashes that no lost connection proves: an upstream that falls silent closes
none, callers leave before their deadline, an answer without a length ends like a
whole one, and while the list of upstreams is late, a second start under the same
id looks like the first.

Expected load: overloaded engines let hundreds of turns wait until their callers
leave, and none of them crashed anything. So such an end only makes a suspect; it
counts as a crash once the list says that this start of the upstream has ended.
*/
import type {CrashTracker} from './crash-tracker.js';

/** Covers the lapse of an entry, an outage of the list, and the time after it in which entries return. */
const SUSPECT_TTL_MS = 20_000;
const MAX_SUSPECTS = 4000;

type Suspect = {readonly fingerprint: string; readonly upstream: string; readonly at: number};

type CrashWatchOptions = {
	readonly tracker: Pick<CrashTracker, 'record'>;
	/** Reads a monotonic clock, in milliseconds. */
	readonly now: () => number;
};

/** Upstreams are named by their start. */
export const createCrashWatch = ({tracker, now}: CrashWatchOptions) => {
	// Ordered by time; a request may be in it more than once.
	let suspects: Suspect[] = [];

	const addSuspect = (fingerprint: string, upstream: string): void => {
		suspects.push({fingerprint, upstream, at: now()});
		if (suspects.length > MAX_SUSPECTS) {
			suspects = suspects.slice(-MAX_SUSPECTS / 2);
		}
	};

	return {
		/** The connection to the upstream was lost while it ran the request. */
		recordLost(fingerprint: string, upstream: string): void {
			if (!tracker.record(fingerprint, upstream)) {
				addSuspect(fingerprint, upstream);
			}
		},
		/** The request was sent, and its end does not tell whether the upstream still runs. */
		recordUnanswered(fingerprint: string, upstream: string): void {
			addSuspect(fingerprint, upstream);
		},
		/** The start has ended without notice: it was removed from the list, or replaced by a newer one. */
		recordEnd(upstream: string): void {
			const ended = suspects.filter(suspect => suspect.upstream === upstream);
			suspects = suspects.filter(suspect => suspect.upstream !== upstream && now() - suspect.at < SUSPECT_TTL_MS);
			for (const {fingerprint} of ended.filter(({at}) => now() - at < SUSPECT_TTL_MS)) {
				// A request that crashed this start before ran at a later one, of which the list had not told yet.
				if (!tracker.record(fingerprint, upstream)) {
					tracker.record(fingerprint, `${upstream} again`);
				}
			}
		},
	};
};
