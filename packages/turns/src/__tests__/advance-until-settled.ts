/**
Lets a test with fake timers wait for a promise.
*/
import {vi} from 'vitest';

const STEP_MS = 5;

/** Advances the fake timers until the promise is settled. */
export const advanceUntilSettled = async <Value>(promise: Promise<Value>): Promise<Value> => {
	const state = {isDone: false};
	const finish = async () => {
		await promise;
		state.isDone = true;
	};

	void finish();
	while (!state.isDone) {
		await vi.advanceTimersByTimeAsync(STEP_MS);
	}

	return promise;
};
