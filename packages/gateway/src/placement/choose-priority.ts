/**
Chooses the priority of a model call at its engine.

Pattern of load: a whole system comes back, or a burst begins, and each engine
gets some twenty turns within a tenth of a second; it reads their prompts one
after the other, in the order of priority. Only the end of a program counts. So
within the rank of a route a program goes first that has little time left, and
last one whose time has passed: what it loses is lost already, and each turn
before it could still be in time.
*/

/** A program with less time left than this many objectives of its route has about its last turn before it. */
const OBJECTIVES_LEFT_WHEN_TIGHT = 4;
const LEVELS_PER_RANK = 3;
const MOST_URGENT = 1;
const LEAST_URGENT = 9;

type PriorityFacts = {
	/** Of the route; 0 is the most urgent. */
	readonly rank: number;
	readonly objectiveMs: number;
	/** Milliseconds until the program should be finished; negative once that has passed, absent where the caller does not say. */
	readonly finishInMs?: number | undefined;
};

const chooseLevel = ({objectiveMs, finishInMs = Infinity}: PriorityFacts): number => {
	if (finishInMs <= 0) {
		return LEVELS_PER_RANK - 1;
	}

	return finishInMs <= OBJECTIVES_LEFT_WHEN_TIGHT * objectiveMs ? 0 : 1;
};

/** From 1, the most urgent, to 9. */
export const choosePriority = (facts: PriorityFacts): number => Math.min(LEAST_URGENT, MOST_URGENT + (LEVELS_PER_RANK * facts.rank) + chooseLevel(facts));
