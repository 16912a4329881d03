/**
Exponential backoff between the attempts of a failed call.
*/

const FIRST_DELAY_MS = 50;
const MAX_DELAY_MS = 2000;

/** Returns a function that waits; each call waits twice as long as the one before, up to `MAX_DELAY_MS`. */
export const createBackoff = (): () => Promise<void> => {
	let delayMs = FIRST_DELAY_MS;
	return async () => {
		await new Promise<void>(resolve => {
			setTimeout(resolve, delayMs);
		});
		delayMs = Math.min(2 * delayMs, MAX_DELAY_MS);
	};
};
