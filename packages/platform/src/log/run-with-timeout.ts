/**
Limits how long a caller waits for the platform's service.
*/
import {err, type Result} from 'neverthrow';
import type {PlatformError} from '../platform-error.js';

/** Returns the result of `run`, or `unavailable` after `timeoutMs`. `run` isn't interrupted; `isExpired` tells it that the caller no longer waits. */
export const runWithTimeout = async <Value, Failure>(
	run: (isExpired: () => boolean) => Promise<Result<Value, Failure>>,
	timeoutMs: number,
): Promise<Result<Value, Failure | PlatformError>> => {
	let isExpired = false;
	let timer: NodeJS.Timeout | undefined;
	const timeout = new Promise<Result<Value, PlatformError>>(resolve => {
		timer = setTimeout(() => {
			isExpired = true;
			resolve(err({kind: 'unavailable', message: `The platform's service did not answer within ${timeoutMs} ms; try again when it does.`}));
		}, timeoutMs);
	});
	try {
		return await Promise.race([run(() => isExpired), timeout]);
	} finally {
		clearTimeout(timer);
	}
};
