/**
Takes over the control signals of a process, so that none of them ends it by its
default action, and keeps them until somebody listens.
*/
import type {ControlSignal} from './control-signal.js';
import type {ReceivedSignal} from './received-signal.js';
import type {SignalSource} from './signal-source.js';
import type {SignalWatch} from './signal-watch.js';

const SIGNALS: readonly ControlSignal[] = ['SIGTERM', 'SIGINT', 'SIGHUP'];
/** Of more that come before anybody listens, only the first ones matter. */
const MAX_PENDING = 100;

/** `source` is the process. */
export const createSignalWatch = (source: SignalSource): SignalWatch => {
	const pending: ReceivedSignal[] = [];
	let deliver = (received: ReceivedSignal): void => {
		if (pending.length < MAX_PENDING) {
			pending.push(received);
		}
	};

	const receive = (signal: ControlSignal): void => {
		deliver({signal, atMs: performance.now()});
	};

	for (const signal of SIGNALS) {
		source.on(signal, receive);
	}

	return {
		listen(listener) {
			deliver = listener;
			for (const received of pending.splice(0)) {
				listener(received);
			}
		},
	};
};
