/**
Waits between tries of a call that failed.
*/

const FIRST_DELAY_MS = 50;
const MAX_DELAY_MS = 2000;

/** Returns a function that waits, each time twice as long as before. */
export const createBackoff = (): () => Promise<void> => {
	let delayMs = FIRST_DELAY_MS;
	return async () => {
		await new Promise<void>(resolve => {
			setTimeout(resolve, delayMs);
		});
		delayMs = Math.min(2 * delayMs, MAX_DELAY_MS);
	};
};
