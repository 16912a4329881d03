/**
Polls until a condition is met.
*/
import {setTimeout as sleep} from 'node:timers/promises';

const POLL_INTERVAL_MS = 50;
const DEFAULT_TIMEOUT_MS = 30_000;

/** Resolves with the time waited in milliseconds; rejects after the timeout with an error that names `condition`. */
export const waitUntil = async (condition: string, isMet: () => Promise<boolean>, timeoutMs = DEFAULT_TIMEOUT_MS): Promise<number> => {
	const startedAt = performance.now();
	while (!await isMet()) {
		if (performance.now() - startedAt > timeoutMs) {
			throw new Error(`timed out after ${timeoutMs} ms waiting for: ${condition}`);
		}

		await sleep(POLL_INTERVAL_MS);
	}

	return performance.now() - startedAt;
};
