/**
Recognises a request that crashes every upstream that runs it, so that its
retries do not take down one upstream after the other.

Expected load: the caller sends the request again with the same bytes, at any
process. An upstream that ends breaks off hundreds of other requests with it, and
the processes note all of them, because none can tell yet which one was the cause.
Each process reports the notes in the heartbeats of its links to the holders, which
relay them; each process decides by itself. A single crash proves nothing, since
upstreams also crash on their own. Three starts of upstreams are taken as proof,
unless an upstream answered the request whole in between: many programs may send
the same bytes, and some of them are always running where an upstream ends.

Requests that crashed more than one start are reported before the others and kept
longer: a request that shared one start with the cause rarely shares a second.
*/
import type {Crash} from './crash.js';
import type {CrashCursor} from './crash-cursor.js';
import type {CrashTracker} from './crash-tracker.js';
import {createNoteQueue} from './create-note-queue.js';

/** Starts of upstreams at which a request must have broken off before it is blocked. */
const MIN_CRASHED_UPSTREAMS = 3;
/** A request may come back minutes later; a cause that is that old has mostly been mended or given up. */
const CRASH_TTL_MS = 600_000;
/** Bounds the size of a heartbeat; the rest follows in the next ones. */
const MAX_LISTED_CRASHES = 64;
const MAX_SINGLE_REQUESTS = 4000;
const MAX_REPEATED_REQUESTS = 1000;
const MAX_ANSWERED_REQUESTS = 4000;

type Source = 'attempt' | 'process';

type CrashTrackerOptions = {
	/** Reads a monotonic clock, in milliseconds. */
	readonly now: () => number;
	/** Called with each crash that is new here. `source`: whether this process saw it, or another process passed it on. */
	readonly onNoted?: (crash: Crash, source: Source) => void;
};

export const createCrashTracker = ({now, onNoted}: CrashTrackerOptions): CrashTracker => {
	const singles = createNoteQueue(MAX_SINGLE_REQUESTS);
	const repeats = createNoteQueue(MAX_REPEATED_REQUESTS);
	// Each has one note, without an upstream.
	const answers = createNoteQueue(MAX_ANSWERED_REQUESTS);

	const toCrash = (fingerprint: string, upstream: string, at: number): Crash => ({fingerprint, upstream, ageMs: Math.max(0, now() - at)});

	const answeredAt = (fingerprint: string): number => answers.get(fingerprint)?.get('') ?? -Infinity;

	const isFresh = ({ageMs}: Crash): boolean => ageMs < CRASH_TTL_MS;

	/** A second start makes the request a repeated one, all of whose crashes are reported again, ahead of the others. */
	const addCrash = (fingerprint: string, upstream: string, at: number, source: Source): boolean => {
		const known = repeats.get(fingerprint) ?? singles.get(fingerprint) ?? new Map<string, number>();
		const crash = toCrash(fingerprint, upstream, at);
		if (known.has(upstream) || !isFresh(crash) || at <= answeredAt(fingerprint)) {
			return false;
		}

		onNoted?.(crash, source);
		const crashes = new Map([...known].filter(([, knownAt]) => isFresh(toCrash(fingerprint, upstream, knownAt)))).set(upstream, at);
		singles.delete(fingerprint);
		(crashes.size > 1 ? repeats : singles).put(fingerprint, crashes);
		return true;
	};

	/** Keeps only crashes after the answer, and remembers it, since other processes may still report earlier ones. */
	const addAnswer = (fingerprint: string, at: number): void => {
		if (at <= answeredAt(fingerprint)) {
			return;
		}

		const known = repeats.get(fingerprint) ?? singles.get(fingerprint) ?? new Map<string, number>();
		const later = new Map([...known].filter(([, crashedAt]) => crashedAt > at));
		answers.put(fingerprint, new Map([['', at]]));
		repeats.delete(fingerprint);
		singles.delete(fingerprint);
		if (later.size > 0) {
			(later.size > 1 ? repeats : singles).put(fingerprint, later);
		}
	};

	return {
		record: (fingerprint, upstream) => addCrash(fingerprint, upstream, now(), 'attempt'),
		recordAnswered(fingerprint) {
			if (repeats.get(fingerprint) ?? singles.get(fingerprint)) {
				addAnswer(fingerprint, now());
			}
		},
		merge({crashes, answered}) {
			for (const {fingerprint, ageMs} of answered) {
				addAnswer(fingerprint, now() - ageMs);
			}

			for (const {fingerprint, upstream, ageMs} of crashes) {
				addCrash(fingerprint, upstream, now() - ageMs, 'process');
			}
		},
		listAfter(cursor?: CrashCursor) {
			const repeated = repeats.listAfter(cursor?.repeated, MAX_LISTED_CRASHES);
			const single = singles.listAfter(cursor?.single, MAX_LISTED_CRASHES - repeated.notes.length);
			const answered = answers.listAfter(cursor?.answered, MAX_LISTED_CRASHES - repeated.notes.length - single.notes.length);
			return {
				answered: answered.notes.map(({key, at}) => ({fingerprint: key, ageMs: Math.max(0, now() - at)})),
				crashes: [...repeated.notes, ...single.notes].map(({key, upstream, at}) => toCrash(key, upstream, at)).filter(crash => isFresh(crash)),
				cursor: {repeated: repeated.cursor, single: single.cursor, answered: answered.cursor},
			};
		},
		findBlock(fingerprint) {
			const crashes = [...repeats.get(fingerprint) ?? []].map(([upstream, at]) => toCrash(fingerprint, upstream, at)).filter(crash => isFresh(crash));
			return crashes.length >= MIN_CRASHED_UPSTREAMS ? crashes : undefined;
		},
		isNoted: fingerprint => [...repeats.get(fingerprint) ?? singles.get(fingerprint) ?? []].some(([upstream, at]) => isFresh(toCrash(fingerprint, upstream, at))),
		isEmpty: () => singles.size() + repeats.size() === 0,
	};
};
