/**
Runs one attempt of a request and, if its answer is slow, an extra copy beside it.

Load: single slow answers. The copy is decided on once, when the usual time has passed;
of both, the first good answer goes to the caller.
*/
import type {ActiveCall} from '../forward/active-call.js';
import type {AttemptResult} from '../forward/attempt-result.js';
import type {CallerResponse} from '../forward/caller-response.js';
import {chooseRaceResult} from './choose-race-result.js';
import {type Contender, createRace} from './create-race.js';

type CopyRun<Choice> = {
	readonly response: CallerResponse;
	readonly active: ActiveCall;
	readonly first: Choice;
	/** Milliseconds after which the answer is slow; `Infinity` for no copy. */
	readonly slowAfterMs: number;
	readonly attempt: (chosen: Choice, contender: Contender) => Promise<AttemptResult>;
	/** Returns where a copy goes; `undefined` for none. */
	readonly chooseCopy: () => Choice | undefined;
};

/** `copy`: what became of it; absent if none was sent. */
export type CopiedResult = {readonly result: AttemptResult; readonly copy?: 'won' | 'lost'};

const waitUntilSlow = async (first: Promise<unknown>, slowAfterMs: number): Promise<boolean> => {
	let timer: ReturnType<typeof setTimeout> | undefined;
	const slow = new Promise<true>(resolve => {
		timer = setTimeout(() => {
			resolve(true);
		}, slowAfterMs);
	});
	const waitForFirst = async (): Promise<false> => {
		await first;
		return false;
	};

	const isSlow = await Promise.race([slow, waitForFirst()]);
	clearTimeout(timer);
	return isSlow;
};

export const runWithCopy = async <Choice>({response, active, first, slowAfterMs, attempt, chooseCopy}: CopyRun<Choice>): Promise<CopiedResult> => {
	const race = createRace(response);
	const firstContender = race.enter();
	const firstEnd = attempt(first, firstContender);
	active.onStop = race.stop;
	if (slowAfterMs === Infinity || !await waitUntilSlow(firstEnd, slowAfterMs)) {
		return {result: await firstEnd};
	}

	// What `chooseCopy` takes is not given back, so it is asked last.
	const isOver = response.isStarted() || response.isDisconnected() || active.isStopped;
	const chosen = isOver ? undefined : chooseCopy();
	if (chosen === undefined) {
		return {result: await firstEnd};
	}

	const copyContender = race.enter();
	const ends = await Promise.all([firstEnd, attempt(chosen, copyContender)]);
	const hasCopyWon = race.hasWon(copyContender);
	const counted = hasCopyWon ? 1 : (race.hasWon(firstContender) ? 0 : chooseRaceResult(...ends));
	const other = ends[1 - counted]!;
	if (other.kind === 'failed') {
		other.dropResponse();
	}

	return {result: ends[counted], copy: hasCopyWon ? 'won' : 'lost'};
};
