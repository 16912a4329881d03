/**
Bounds how long a caller waits for the platform's service.
*/
import {err, type Result} from 'neverthrow';
import type {PlatformError} from '../platform-error.js';

/** Returns the result if it comes within `timeoutMs`, else `unavailable`; what was started goes on. */
export const limitTime = async <Value>(pending: Promise<Result<Value, PlatformError>>, timeoutMs: number): Promise<Result<Value, PlatformError>> => {
	let timer: NodeJS.Timeout | undefined;
	const timeout = new Promise<Result<Value, PlatformError>>(resolve => {
		timer = setTimeout(() => {
			resolve(err({kind: 'unavailable', message: `The platform's service did not answer within ${timeoutMs} ms.`}));
		}, timeoutMs);
	});
	try {
		return await Promise.race([pending, timeout]);
	} finally {
		clearTimeout(timer);
	}
};
