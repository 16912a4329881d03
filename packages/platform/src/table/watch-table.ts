/**
Follows the table's log from one of the few processes per data centre that watch
it.
*/
import type {PlatformClient} from '../platform-client.js';

// A watch that hangs or missed a change delays an edit by this long at most; an edit must be in force everywhere within seconds.
const WATCH_TIMEOUT_MS = 4000;
const IDLE_CHECK_MS = 1000;

type WatchOptions = {
	readonly client: PlatformClient;
	/** Whether this process is one of those that watch; asked again before each watch. */
	readonly isWatcher: () => boolean;
	/** Reads the log; returns whether the platform's service answered. */
	readonly refresh: () => Promise<boolean>;
	readonly signal: AbortSignal;
};

const sleep = async (ms: number) => new Promise<void>(resolve => {
	setTimeout(resolve, ms);
});

/** Watches until `signal` aborts. Reads the log after every watch, also one that saw nothing. */
export const watchTable = async ({client, isWatcher, refresh, signal}: WatchOptions): Promise<void> => {
	let after: number | undefined;
	while (!signal.aborted) {
		if (!isWatcher() || !await refresh()) {
			await sleep(IDLE_CHECK_MS);
			continue;
		}

		const change = await client.watch({prefix: 'table/', after, timeoutMs: WATCH_TIMEOUT_MS});
		if (change.isOk()) {
			after = change.value.revision;
		} else {
			await sleep(IDLE_CHECK_MS);
		}
	}
};
