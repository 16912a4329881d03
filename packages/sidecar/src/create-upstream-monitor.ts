/**
Probes the upstream at a fixed interval. The sidecar reports the result in its
heartbeats, so that entries send no calls to an upstream that is down.
*/
import type {UpstreamClient} from './upstream-client.js';
import type {UpstreamMonitor} from './upstream-monitor.js';

const PROBE_INTERVAL_MS = 500;

/** Starts the probes. `onChange` is called when the upstream goes down or comes up. */
export const createUpstreamMonitor = (upstream: UpstreamClient, onChange: () => void): UpstreamMonitor => {
	let isUp = true;
	const set = (value: boolean) => {
		if (isUp !== value) {
			isUp = value;
			onChange();
		}
	};

	const timer = setInterval(() => {
		void (async () => {
			set(await upstream.probe());
		})();
	}, PROBE_INTERVAL_MS);
	timer.unref();
	return {
		isUp: () => isUp,
		reportFailure() {
			set(false);
		},
		stop() {
			clearInterval(timer);
		},
	};
};
