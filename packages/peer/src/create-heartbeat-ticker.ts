/**
Runs the heartbeats of all links of a process in one timer.

Expected load: a process at rest has links to tens or hundreds of others. With a timer
for each link it would be woken for each of them, and a wake costs more than the
heartbeat that it sends.
*/

type HeartbeatTicker = {
	readonly intervalMs: number;
	/** Calls `listener` once in each interval; returns a function that ends this. */
	readonly add: (listener: () => void) => () => void;
};

/** The timer runs only while there are listeners, and does not keep the process alive. */
export const createHeartbeatTicker = (intervalMs: number): HeartbeatTicker => {
	const listeners = new Set<{readonly listener: () => void}>();
	let timer: NodeJS.Timeout | undefined;

	const tick = (): void => {
		// A listener may end another one, whose link is then closed and must not be touched.
		for (const {listener} of listeners) {
			listener();
		}
	};

	return {
		intervalMs,
		add(listener) {
			const entry = {listener};
			listeners.add(entry);
			timer ??= setInterval(tick, intervalMs).unref();
			return () => {
				listeners.delete(entry);
				if (listeners.size === 0) {
					clearInterval(timer);
					timer = undefined;
				}
			};
		},
	};
};
