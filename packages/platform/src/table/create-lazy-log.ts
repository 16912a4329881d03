/**
Opens a log at its first use and again after a failure, so that a process
starts while the platform's service is down.
*/
import {ok, type Result} from 'neverthrow';
import type {PlatformError} from '../platform-error.js';

type Closable = {readonly close: () => void};

type LazyLog<Log extends Closable> = {
	readonly get: () => Promise<Result<Log, PlatformError>>;
	/** Closes the log if it is open. */
	readonly close: () => void;
};

/** Uses at the same time share one opening. */
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
