/**
Decides whether a gateway accepts a turn that begins a program, or one of a program
that is late.

Load pattern: a burst brings more programs than the processor of a gateway can
handle. If all of them are accepted, every turn of every program is late. A
program makes tens of calls over many seconds, so programs have to be refused
before the processor is used up, and refusing one takes far less time than
serving it. The caller can try another gateway at once. Calls of programs under
way that can end in time are always accepted. The less urgent programs are refused
first, and more of them the busier the process is.

The same holds for the engines: once calls wait there for longer than their
objective, every further program makes all of them later, and what was computed
for those that give up is lost. So the engines would stay full long after the
burst. For the same reason turns of programs that can no longer end in time are
refused there like first calls: each would be followed by more, whose histories take
the memory of the engines from the programs that can.
*/

/** Utilization of the event loop at which the first of the least urgent programs are refused; the rest is for the calls that accepted programs still make. */
const FIRST_REFUSAL_UTILIZATION = 0.8;
/** The utilization from the first refusals to that at which all programs would be refused. */
const REFUSAL_RANGE = 0.15;
/** More urgent programs are refused from a utilization that is higher by this for each rank. */
const RANK_STEP = 0.03;
/** Share of the programs that is refused at the most because of the engines, so that some are never refused by a gateway that does not know them, whatever the load was when they began. */
const MAX_ENGINE_EXCESS = 0.9;
/** Ranks beyond this are treated alike. */
const LEAST_URGENT_RANK = 2;
/** While arrived data waits for less than this, a busy loop does no harm. */
const HARMLESS_QUEUE_MS = 5;
/** Wait at the engines, in objectives of the route, from which the first of the least urgent programs are refused. */
const FIRST_REFUSAL_OBJECTIVES = 0.5;
/** The wait, in objectives, from the first refusals to that at which all programs would be refused. */
const REFUSAL_RANGE_OBJECTIVES = 1;
/** More urgent programs are refused from a wait that is longer by so many objectives for each rank. */
const RANK_STEP_OBJECTIVES = 0.25;

type AdmissionState = {
	/** How long arrived data waits until it is handled, in milliseconds. */
	readonly queueMs: number;
	/** Share of the time in which the event loop was not waiting, from 0 to 1. */
	readonly utilization: number;
	/** Recent mean wait at the engines of the route, in milliseconds. */
	readonly waitMs: number;
	/** Latency objective of the route, in milliseconds. */
	readonly objectiveMs: number;
	/** Rank of the route; 0 is the most urgent. */
	readonly rank: number;
	/** Whether the call is the first of its program here, as far as the gateway knows. */
	readonly isFirstCall: boolean;
	/** Whether the call is a turn of a program that cannot end in time any more. */
	readonly isLateTurn: boolean;
};

/** Share of the programs that the processor of the gateway cannot serve. */
const computeProcessorExcess = ({queueMs, utilization, rank}: AdmissionState): number => {
	if (queueMs < HARMLESS_QUEUE_MS) {
		return 0;
	}

	const firstRefusal = FIRST_REFUSAL_UTILIZATION + (RANK_STEP * (LEAST_URGENT_RANK - Math.min(rank, LEAST_URGENT_RANK)));
	return (utilization - firstRefusal) / REFUSAL_RANGE;
};

/** Share of the programs that the engines cannot serve. */
const computeEngineExcess = ({waitMs, objectiveMs, rank}: AdmissionState): number => {
	const firstRefusal = FIRST_REFUSAL_OBJECTIVES + (RANK_STEP_OBJECTIVES * (LEAST_URGENT_RANK - Math.min(rank, LEAST_URGENT_RANK)));
	return ((waitMs / Math.max(1, objectiveMs)) - firstRefusal) / REFUSAL_RANGE_OBJECTIVES;
};

/** `fraction` is uniformly distributed in [0, 1). */
export const decideAdmission = (state: AdmissionState, fraction: number): 'accept' | 'refuse' => {
	const processorExcess = state.isFirstCall ? computeProcessorExcess(state) : 0;
	const engineExcess = state.isFirstCall || state.isLateTurn ? Math.min(MAX_ENGINE_EXCESS, computeEngineExcess(state)) : 0;
	return fraction < Math.max(processorExcess, engineExcess) ? 'refuse' : 'accept';
};
