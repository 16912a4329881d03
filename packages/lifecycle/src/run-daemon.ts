/**
Runs a daemon from its start to the end of the process.
*/
import process from 'node:process';
import {createLifecycle} from './create-lifecycle.js';
import type {RunningDaemon} from './running-daemon.js';
import type {SignalWatch} from './signal-watch.js';

type DaemonOptions = Omit<Parameters<typeof createLifecycle>[0], 'exit'> & {
	readonly signals: SignalWatch;
	/** Resolves once the daemon serves requests. */
	readonly start: () => Promise<RunningDaemon>;
};

/** Resolves once the daemon has started, or could not. The process ends on a signal to stop, after an uncaught error and if the start fails. */
export const runDaemon = async ({start, signals, ...options}: DaemonOptions): Promise<void> => {
	const lifecycle = createLifecycle({...options, exit: process.exit.bind(process)});
	// Rejected promises that nobody handles arrive here too.
	process.on('uncaughtException', lifecycle.receiveError);
	signals.listen(lifecycle.receiveSignal);
	try {
		lifecycle.markRunning(await start());
	} catch (error) {
		lifecycle.markFailed(error);
	}
};
