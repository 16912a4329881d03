/**
Chooses the call that an upstream runs next.

The rules apply in this order:

- Memory: a call that starts a program waits until the engine's memory has room
  for it beside the prefixes of the active programs and a reserve for their
  growth, because computing an evicted prefix again costs more than the early
  start gains. It also waits while more than a few calls of active programs are
  queued, because these hold memory while they wait.
- Priority: the highest goes first. A waiting call gains priority with time, up
  to the highest one in the queue, so that it does not starve.
- Weight: a row that is ahead of the least served waiting row by more than a
  fixed lead waits, so that under backlog the shares follow the weights. The lead
  is larger for calls of active programs, which hold memory while they wait.
- Deadline: a call that has waited for half of the time in which it may start
  goes next, the earliest deadline first. Otherwise it would be refused for its
  age, and no other rule can make up for that.
- Least attained service: the program that has had the least service goes first,
  in geometric levels, so that the few very long programs do not delay the many
  short ones. Waiting lowers a call's level, so that long programs progress too.
  Within a level the program that started first goes first.
*/
import type {QueueView} from './queue-view.js';
import type {QueuedCall} from './queued-call.js';
import type {QueuePolicy} from './queue-policy.js';
import type {ServiceTimeByRow} from './service-time-by-row.js';

/** Waiting time that raises a call's priority by 1. */
const PRIORITY_STEP_MS = 30_000;
/** Waiting time that lowers a call's service level by 1. */
const LEVEL_STEP_MS = 5000;
/** Attained service that level 0 covers; each further level is twice as wide. */
const FIRST_LEVEL_WIDTH_MS = 10_000;
/** Normalised service by which a row may lead the least served waiting row, for calls that start a program. */
const START_LEAD_LIMIT_MS = 30_000;
/** The same for calls of active programs. */
const CONTINUE_LEAD_LIMIT_MS = 300_000;
/** Calls of active programs that may wait while a new program starts, as a share of the slots. */
const MAX_CONTINUING_QUEUE_SHARE = 1 / 32;
/** Share of the time in which a call may start after which it counts as urgent. The rest leaves time for other urgent calls with earlier deadlines. */
const URGENT_WAIT_SHARE = 0.5;
/** Share of memory reserved for the growth of active programs. */
const GROWTH_RESERVE_SHARE = 0.15;

const computeAgedPriority = (call: QueuedCall, highest: number, now: number): number =>
	Math.min(highest, call.priority + Math.floor((now - call.queuedAt) / PRIORITY_STEP_MS));

const computeLevel = (call: QueuedCall, now: number): number => {
	const attained = Math.floor(Math.log2(1 + (call.attainedMs / FIRST_LEVEL_WIDTH_MS)));
	return Math.max(0, attained - Math.floor((now - call.queuedAt) / LEVEL_STEP_MS));
};

const findLeastService = (calls: readonly QueuedCall[], rows: ServiceTimeByRow): number => {
	let least = Infinity;
	for (const call of calls) {
		least = Math.min(least, rows.get(call.row) ?? 0);
	}

	return least;
};

/** Returns the latest start of an urgent call, and `Infinity` for any other. */
const getUrgentDeadline = ({startBy = Infinity, queuedAt}: QueuedCall, now: number): number =>
	now - queuedAt >= URGENT_WAIT_SHARE * (startBy - queuedAt) ? startBy : Infinity;

const isServedBefore = (a: QueuedCall, b: QueuedCall, now: number): boolean => {
	const deadlines = [getUrgentDeadline(a, now), getUrgentDeadline(b, now)] as const;
	if (deadlines[0] !== deadlines[1]) {
		return deadlines[0] < deadlines[1];
	}

	const levels = computeLevel(a, now) - computeLevel(b, now);
	if (levels !== 0) {
		return levels < 0;
	}

	return a.programStartedAt === b.programStartedAt ? a.queuedAt < b.queuedAt : a.programStartedAt < b.programStartedAt;
};

/** Whether an engine may start further programs, which it may not while its active programs already wait for slots. */
const canStartPrograms = (waiting: readonly QueuedCall[], queue: QueueView): boolean => {
	const continuing = waiting.filter(call => !call.startsProgram).length;
	return queue.memoryTokens === 0 || continuing <= queue.slots * MAX_CONTINUING_QUEUE_SHARE;
};

/** An idle engine takes any call, so that it never stalls on full memory. */
const fitsMemory = (call: QueuedCall, queue: QueueView): boolean =>
	queue.memoryTokens === 0 || queue.running === 0
	|| call.missingTokens + (GROWTH_RESERVE_SHARE * queue.memoryTokens) <= queue.freeTokens;

const isWithinLeadLimit = (call: QueuedCall, least: number, rows: ServiceTimeByRow): boolean =>
	(rows.get(call.row) ?? 0) <= least + (call.startsProgram ? START_LEAD_LIMIT_MS : CONTINUE_LEAD_LIMIT_MS);

/** The queue policy used in production. */
export const chooseNextCall: QueuePolicy = (waiting, queue, now) => {
	const mayStartPrograms = canStartPrograms(waiting, queue);
	const fitting = waiting.filter(call => !call.startsProgram || (mayStartPrograms && fitsMemory(call, queue)));
	const highest = Math.max(...fitting.map(call => call.priority));
	const first = fitting.filter(call => computeAgedPriority(call, highest, now) === highest);
	const least = findLeastService(first, queue.rows);
	let best: QueuedCall | undefined;
	for (const call of first) {
		if (isWithinLeadLimit(call, least, queue.rows) && (!best || isServedBefore(call, best, now))) {
			best = call;
		}
	}

	return best ? waiting.indexOf(best) : -1;
};
