/**
Waits for a condition.
*/
import {setTimeout as sleep} from 'node:timers/promises';

const POLL_INTERVAL_MS = 50;
const DEFAULT_TIMEOUT_MS = 30_000;

/** Resolves with the milliseconds that passed; rejects after the timeout. */
export const waitUntil = async (what: string, isMet: () => Promise<boolean>, timeoutMs = DEFAULT_TIMEOUT_MS): Promise<number> => {
	const startedAt = performance.now();
	while (!await isMet()) {
		if (performance.now() - startedAt > timeoutMs) {
			throw new Error(`gave up after ${timeoutMs} ms: ${what}`);
		}

		await sleep(POLL_INTERVAL_MS);
	}

	return performance.now() - startedAt;
};
