/**
Probes the upstream at a beat, so that a sidecar whose upstream is down takes no
calls from elsewhere and takes them again once it is back.
*/
import type {UpstreamClient} from './upstream-client.js';
import type {UpstreamMonitor} from './upstream-monitor.js';

const PROBE_INTERVAL_MS = 500;

/** Starts the beat; `onChange` is called when the upstream goes down or comes up. */
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
		noteFailure() {
			set(false);
		},
		stop() {
			clearInterval(timer);
		},
	};
};
