/**
Keeps a process up to date with the table's log while it is one of the few
processes per data centre that watch it.
*/
import type {PlatformClient} from '../platform-client.js';

// Maximum delay of an edit if a watch hangs or misses a change. Edits must be in force everywhere within seconds.
const WATCH_TIMEOUT_MS = 4000;
const RETRY_INTERVAL_MS = 1000;

type WatchOptions = {
	readonly client: PlatformClient;
	/** Whether this process is one of those that watch the log; checked again before each watch. */
	readonly isWatcher: () => boolean;
	/** Reads the log; returns whether that succeeded. */
	readonly refresh: () => Promise<boolean>;
	readonly signal: AbortSignal;
};

const sleep = async (ms: number) => new Promise<void>(resolve => {
	setTimeout(resolve, ms);
});

/** Runs until `signal` aborts. Reads the log after every watch, even if the watch reported no change. */
export const watchTable = async ({client, isWatcher, refresh, signal}: WatchOptions): Promise<void> => {
	let after: number | undefined;
	while (!signal.aborted) {
		if (!isWatcher() || !await refresh()) {
			await sleep(RETRY_INTERVAL_MS);
			continue;
		}

		const change = await client.watch({prefix: 'table/', after, timeoutMs: WATCH_TIMEOUT_MS});
		if (change.isOk()) {
			after = change.value.revision;
		} else {
			await sleep(RETRY_INTERVAL_MS);
		}
	}
};
