/**
Chooses the next call of an upstream's queue.

Five rules in order. Priority: the highest goes first, and a waiting call gains
a step with time, up to the highest that waits. Memory: a call that starts a
program waits until memory has room for it beside the prefixes of the programs
under way and some room for these to grow, because a prefix that is pushed out
costs more to compute again than the start gains; and until few calls of
programs under way wait, because these hold memory while they do. Weight: a row that is further
ahead of the least served waiting row than a fixed slack waits, so shares follow
weights under backlog; the slack is wider for calls of programs under way, which
hold memory while they wait. Deadline: a call that has waited for most of the
time in which it may start goes next, the one with the least left first, since
no order serves a caller whose call was refused for its age. Least attained service: among the rest, the program
that has had least goes first, in geometric levels, so that the few very long
programs do not delay the many short ones; waiting lowers a call's level, so
that a long program moves on too. Within a level the program that started first
goes first.
*/
import type {QueueView} from './queue-view.js';
import type {QueuedCall} from './queued-call.js';
import type {QueueOrder} from './queue-order.js';
import type {RowService} from './row-service.js';

/** Time in which a waiting call gains one step of priority. */
const PRIORITY_AGEING_MS = 30_000;
/** Time in which a waiting call moves one level up. */
const LEVEL_AGEING_MS = 5000;
/** Upper bound of the first level; each further level doubles it. */
const FIRST_LEVEL_MS = 10_000;
/** Normalised service by which a row may lead the least served waiting row. */
const START_LEAD_MS = 30_000;
const CONTINUE_LEAD_MS = 300_000;
/** Calls of programs under way that may wait while starts run, as a share of the slots. */
const WAITING_SHARE = 1 / 32;
/** Share of the time in which it may start after which a call goes before others that have more left; the rest is for those ahead of it that are pressed too. */
const PRESSED_SHARE = 0.5;
/** Share of memory that programs under way may grow into. */
const GROWTH_SHARE = 0.15;

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

/** When the call is to start at the latest, if most of its time is over. */
const pressingDeadline = ({startBy = Infinity, queuedAt}: QueuedCall, now: number): number =>
	now - queuedAt >= PRESSED_SHARE * (startBy - queuedAt) ? startBy : Infinity;

const goesBefore = (a: QueuedCall, b: QueuedCall, now: number): boolean => {
	const deadlines = [pressingDeadline(a, now), pressingDeadline(b, now)] as const;
	if (deadlines[0] !== deadlines[1]) {
		return deadlines[0] < deadlines[1];
	}

	const levels = computeLevel(a, now) - computeLevel(b, now);
	if (levels !== 0) {
		return levels < 0;
	}

	return a.programStartedAt === b.programStartedAt ? a.queuedAt < b.queuedAt : a.programStartedAt < b.programStartedAt;
};

/** An engine whose programs under way already wait for slots takes no further ones. */
const mayStartsRun = (waiting: readonly QueuedCall[], queue: QueueView): boolean => {
	const underWay = waiting.filter(call => !call.startsProgram).length;
	return queue.memoryTokens === 0 || underWay <= queue.slots * WAITING_SHARE;
};

const fitsMemory = (call: QueuedCall, queue: QueueView): boolean =>
	queue.memoryTokens === 0 || queue.running === 0
	|| call.missingTokens + (GROWTH_SHARE * queue.memoryTokens) <= queue.freeTokens;

const isWithinLead = (call: QueuedCall, least: number, rows: RowService): boolean =>
	(rows.get(call.row) ?? 0) <= least + (call.startsProgram ? START_LEAD_MS : CONTINUE_LEAD_MS);

/** The project's queue order. */
export const chooseNextCall: QueueOrder = (waiting, queue, now) => {
	const startsMayRun = mayStartsRun(waiting, queue);
	const fitting = waiting.filter(call => !call.startsProgram || (startsMayRun && fitsMemory(call, queue)));
	const highest = Math.max(...fitting.map(call => call.priority));
	const first = fitting.filter(call => agePriority(call, highest, now) === highest);
	const least = leastService(first, queue.rows);
	let best: QueuedCall | undefined;
	for (const call of first) {
		if (isWithinLead(call, least, queue.rows) && (!best || goesBefore(call, best, now))) {
			best = call;
		}
	}

	return best ? waiting.indexOf(best) : -1;
};
