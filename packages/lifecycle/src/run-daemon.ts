/**
Runs a daemon from its start to the end of the process.
*/
import process from 'node:process';
import {createLifecycle} from './create-lifecycle.js';
import type {RunningDaemon} from './running-daemon.js';
import type {SignalWatch} from './signal-watch.js';

type DaemonOptions = Omit<Parameters<typeof createLifecycle>[0], 'exit' | 'onStopDuringStart'> & {
	readonly signals: SignalWatch;
	/** Resolves once the daemon serves requests; may reject once the signal aborts, which says that the process is told to stop. */
	readonly start: (stopRequested: AbortSignal) => Promise<RunningDaemon>;
};

/** Resolves once the daemon has started, or could not. The process ends on a signal to stop, after an uncaught error and if the start fails. */
export const runDaemon = async ({start, signals, ...options}: DaemonOptions): Promise<void> => {
	const stopping = new AbortController();
	const lifecycle = createLifecycle({
		...options, exit: process.exit.bind(process), onStopDuringStart() {
			stopping.abort();
		},
	});
	// Rejected promises that nobody handles arrive here too.
	process.on('uncaughtException', lifecycle.receiveError);
	signals.listen(lifecycle.receiveSignal);
	try {
		lifecycle.markRunning(await start(stopping.signal));
	} catch (error) {
		lifecycle.markFailed(error);
	}
};
