/**
Opens a log when it is first used, and retries at the next use if that failed,
so that a process can start while the platform's service is down.
*/
import {ok, type Result} from 'neverthrow';
import type {PlatformError} from '../platform-error.js';

type Closable = {readonly close: () => void};

type LazyLog<Log extends Closable> = {
	/** Returns the log; opens it if it is not open. */
	readonly get: () => Promise<Result<Log, PlatformError>>;
	/** Closes the log if it is open. */
	readonly close: () => void;
};

/** Creates the log's accessor. Concurrent calls of `get` share one call of `open`. */
export const createLazyLog = <Log extends Closable>(open: () => Promise<Result<Log, PlatformError>>): LazyLog<Log> => {
	let log: Log | undefined;
	let opening: Promise<Result<Log, PlatformError>> | undefined;

	const openOnce = async () => {
		const opened = await open();
		log = opened.unwrapOr(undefined);
		opening = undefined;
		return opened;
	};

	return {
		async get() {
			if (log) {
				return ok(log);
			}

			opening ??= openOnce();
			return opening;
		},
		close() {
			log?.close();
		},
	};
};
