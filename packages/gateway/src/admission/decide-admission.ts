/**
Decides whether a gateway accepts the first call of a program.

Load pattern: a burst brings more programs than the processor of a gateway can
handle. If all of them are accepted, every turn of every program is late. A
program makes tens of calls over many seconds, so programs have to be refused
before the processor is used up, and refusing one takes far less time than
serving it. The caller can try another gateway at once. Calls of programs under
way are always accepted. The less urgent programs are refused first, and more of
them the busier the process is.
*/

/** Utilization of the event loop at which the first of the least urgent programs are refused; the rest is for the calls that accepted programs still make. */
const FIRST_REFUSAL_UTILIZATION = 0.8;
/** From the first refusals on, all programs are refused once the utilization has grown by this. */
const REFUSAL_RANGE = 0.15;
/** More urgent programs are refused from a utilization that is higher by this for each rank. */
const RANK_STEP = 0.03;
/** Ranks beyond this are treated alike. */
const LEAST_URGENT_RANK = 2;
/** While arrived data waits for less than this, a busy loop does no harm. */
const HARMLESS_QUEUE_MS = 5;

type AdmissionState = {
	/** How long arrived data waits until it is handled, in milliseconds. */
	readonly queueMs: number;
	/** Share of the time in which the event loop was not waiting, from 0 to 1. */
	readonly utilization: number;
	/** Rank of the route; 0 is the most urgent. */
	readonly rank: number;
	/** Whether the call is the first of its program here, as far as the gateway knows. */
	readonly isFirstCall: boolean;
};

/** `fraction` is uniformly distributed in [0, 1). */
export const decideAdmission = ({queueMs, utilization, rank, isFirstCall}: AdmissionState, fraction: number): 'accept' | 'refuse' => {
	if (!isFirstCall || queueMs < HARMLESS_QUEUE_MS) {
		return 'accept';
	}

	const firstRefusal = FIRST_REFUSAL_UTILIZATION + (RANK_STEP * (LEAST_URGENT_RANK - Math.min(rank, LEAST_URGENT_RANK)));
	return fraction < (utilization - firstRefusal) / REFUSAL_RANGE ? 'refuse' : 'accept';
};
