/**
Chooses the next call of an upstream's queue.

Three rules in order. Priority: the highest goes first, and a waiting call
gains a step with time, up to the highest that waits. Weight: a row that is
further ahead of the least served waiting row than a fixed slack waits, so
shares follow weights under backlog. Least attained service: among the rest,
the program that has had least goes first, in geometric levels, so that the
few very long programs do not delay the many short ones; waiting lowers a
call's level, so that a long program moves on too. Within a level the program
that started first goes first.
*/
import type {QueuedCall} from './queued-call.js';
import type {QueueOrder} from './queue-order.js';
import type {RowService} from './row-service.js';

/** Time in which a waiting call gains one step of priority. */
const PRIORITY_AGEING_MS = 30_000;
/** Time in which a waiting call moves one level up. */
const LEVEL_AGEING_MS = 20_000;
/** Upper bound of the first level; each further level doubles it. */
const FIRST_LEVEL_MS = 10_000;
/** Normalised service by which a row may lead the least served waiting row. */
const ROW_LEAD_MS = 30_000;

const agePriority = (call: QueuedCall, highest: number, now: number): number =>
	Math.min(highest, call.priority + Math.floor((now - call.queuedAt) / PRIORITY_AGEING_MS));

const computeLevel = (call: QueuedCall, now: number): number => {
	const attained = Math.floor(Math.log2(1 + (call.attainedMs / FIRST_LEVEL_MS)));
	return Math.max(0, attained - Math.floor((now - call.queuedAt) / LEVEL_AGEING_MS));
};

const leastService = (calls: readonly QueuedCall[], rows: RowService): number => {
	let least = Infinity;
	for (const call of calls) {
		least = Math.min(least, rows.get(call.row) ?? 0);
	}

	return least;
};

const goesBefore = (a: QueuedCall, b: QueuedCall, now: number): boolean => {
	const levels = computeLevel(a, now) - computeLevel(b, now);
	if (levels !== 0) {
		return levels < 0;
	}

	return a.programStartedAt === b.programStartedAt ? a.queuedAt < b.queuedAt : a.programStartedAt < b.programStartedAt;
};

/** The project's queue order. */
export const chooseNextCall: QueueOrder = (waiting, rows, now) => {
	let highest = -Infinity;
	for (const call of waiting) {
		highest = Math.max(highest, call.priority);
	}

	const first = waiting.filter(call => agePriority(call, highest, now) === highest);
	const limit = leastService(first, rows) + ROW_LEAD_MS;
	let best: QueuedCall | undefined;
	for (const call of first) {
		const eligible = (rows.get(call.row) ?? 0) <= limit;
		if (eligible && (!best || goesBefore(call, best, now))) {
			best = call;
		}
	}

	return best ? waiting.indexOf(best) : -1;
};
