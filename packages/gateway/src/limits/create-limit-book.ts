/**
Remembers which limit each upstream named, and spreads it to the other processes.

Expected load: an upstream in need names a limit of a few requests a second in its
answers, and tens of processes send to it, each of which sees few of the answers.
Each process reports what it learnt in the heartbeats of its links to the holders,
which relay it, so that all processes know of a limit before they have been told
by the upstream itself. The newest statement holds. An answer without a limit
revokes one only if its request was sent after the limit was named: answers to
requests that were under way at that time prove nothing.
*/
import type {LimitBook} from './limit-book.js';
import type {UpstreamLimit} from './upstream-limit.js';

/** Bounds the size of a heartbeat; the rest follows in the next one. */
const MAX_LISTED_LIMITS = 128;
const MAX_TRACKED_UPSTREAMS = 10_000;

/** `saidAt` is a time on the book's clock; `sequence` numbers the changes in the order in which this process learnt of them. */
type Statement = {perSecond: number | undefined; saidAt: number; readonly sequence: number};

type LimitBookOptions = {
	/** Reads a monotonic clock, in milliseconds. */
	readonly now: () => number;
	/** Called when a limit is named, changed or revoked. `source`: whether an upstream said so to this process, or another process passed it on. */
	readonly onChange?: (limit: UpstreamLimit, source: 'answer' | 'process') => void;
};

export const createLimitBook = ({now, onChange}: LimitBookOptions): LimitBook => {
	// Ordered by sequence.
	const statements = new Map<string, Statement>();
	let newestSequence = 0;

	const toLimit = (upstream: string, {perSecond, saidAt}: Statement): UpstreamLimit => ({upstream, perSecond, ageMs: Math.max(0, now() - saidAt)});

	const store = (upstream: string, perSecond: number | undefined, saidAt: number, source: 'answer' | 'process'): void => {
		const known = statements.get(upstream);
		if (known && known.perSecond === perSecond) {
			known.saidAt = Math.max(known.saidAt, saidAt);
			return;
		}

		newestSequence++;
		const statement = {perSecond, saidAt, sequence: newestSequence};
		statements.delete(upstream);
		statements.set(upstream, statement);
		onChange?.(toLimit(upstream, statement), source);
		if (statements.size > MAX_TRACKED_UPSTREAMS) {
			const [oldest] = statements.keys();
			statements.delete(oldest!);
		}
	};

	return {
		isEmpty: () => statements.size === 0,
		get: upstream => statements.get(upstream)?.perSecond,
		record(upstream, perSecond, sentAt) {
			if (perSecond !== undefined) {
				store(upstream, perSecond, now(), 'answer');
				return;
			}

			const known = statements.get(upstream);
			if (known?.perSecond !== undefined && sentAt > known.saidAt) {
				store(upstream, undefined, sentAt, 'answer');
			}
		},
		merge(limits) {
			for (const {upstream, perSecond, ageMs} of limits) {
				const saidAt = now() - ageMs;
				const known = statements.get(upstream);
				const isNews = known ? saidAt > known.saidAt : perSecond !== undefined;
				if (isNews) {
					store(upstream, perSecond, saidAt, 'process');
				}
			}
		},
		describe(upstream) {
			const known = statements.get(upstream);
			return known && toLimit(upstream, known);
		},
		listAfter(sequence) {
			if (sequence === newestSequence) {
				return {limits: [], sequence};
			}

			const unsent = [...statements].filter(([, statement]) => statement.sequence > sequence).slice(0, MAX_LISTED_LIMITS);
			return {
				limits: unsent.map(([upstream, statement]) => toLimit(upstream, statement)),
				sequence: unsent.at(-1)?.[1].sequence ?? newestSequence,
			};
		},
		forget(upstream) {
			statements.delete(upstream);
		},
		listLimits: () => [...statements].flatMap(([upstream, {perSecond}]) => perSecond === undefined ? [] : [{upstream, perSecond}]),
	};
};
