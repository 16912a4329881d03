/**
Decides what a process does on each signal and on each error that nobody caught.

A control signal may come at any moment, again, and beside any other. So the first
request to stop counts, later ones change nothing, and a request that comes during
the start is met once the start is over. An uncaught error ends the process too,
but through the same planned stop, since the requests in flight did not cause it.
*/
import type {Logger} from '@siskinhub/observe/logger.js';
import type {ControlSignal} from './control-signal.js';
import type {LifecyclePhase} from './lifecycle-phase.js';
import type {ReceivedSignal} from './received-signal.js';
import type {RunningDaemon} from './running-daemon.js';

type LifecycleOptions = {
	readonly log: Logger;
	/** Milliseconds from the request to stop until the process is killed. */
	readonly stopWithinMs: number;
	/** Resolves once all log lines are written; needed if they are not written at once. */
	readonly flush?: () => Promise<void>;
	/** Ends the process at once. */
	readonly exit: (exitCode: number) => void;
	/** Called with each signal, for the metrics. */
	readonly onSignal?: (signal: ReceivedSignal['signal'], phase: LifecyclePhase) => void;
	/** Called if a stop is asked for during the start, which need not be completed then. */
	readonly onStopDuringStart?: () => void;
	/** Called with each uncaught error, for the metrics. */
	readonly onError?: (phase: LifecyclePhase) => void;
};

type StopCause = {readonly reason: string; readonly atMs: number};

/** `EX_SOFTWARE` of sysexits.h. */
const EXIT_SOFTWARE = 70;
/** Time reserved for the last log lines before the kill. */
const END_MARGIN_MS = 250;
/** A reader of the log that has stopped must not hold up the end. */
const FLUSH_TIMEOUT_MS = 150;
const MAX_ERROR_LINES = 20;

const wait = async (ms: number): Promise<void> => new Promise(resolve => {
	setTimeout(resolve, ms);
});

const describeEffect = (signal: ControlSignal, isStopping: boolean): string => {
	if (signal === 'SIGHUP') {
		return 'none; changes to the settings file take effect at the next start';
	}

	return isStopping ? 'none; the process is already stopping' : 'stop';
};

export const createLifecycle = ({log, stopWithinMs, flush, exit, onSignal, onStopDuringStart, onError}: LifecycleOptions) => {
	let phase: LifecyclePhase = 'starting';
	let daemon: RunningDaemon | undefined;
	let cause: StopCause | undefined;
	let errors = 0;

	const countActive = (): number | undefined => daemon?.countActive?.();

	const end = async (reason: string, exitCode: number): Promise<void> => {
		if (phase === 'ending') {
			return;
		}

		phase = 'ending';
		log.info('process ending', {
			reason, exitCode, active: countActive(), uncaughtErrors: errors, stopMs: cause && Math.round(performance.now() - cause.atMs), upForMs: Math.round(performance.now()),
		});
		await Promise.race([flush?.(), wait(FLUSH_TIMEOUT_MS)]);
		exit(exitCode);
	};

	const leftMs = (): number => cause ? cause.atMs + stopWithinMs - performance.now() : stopWithinMs;

	const stopDaemon = async ({reason}: StopCause, running: RunningDaemon): Promise<void> => {
		phase = 'stopping';
		try {
			const exitCode = await running.stop(leftMs());
			await end(reason, errors > 0 ? EXIT_SOFTWARE : exitCode);
		} catch (error) {
			log.error('failed to stop as planned; the process ends at once', {error});
			await end(reason, EXIT_SOFTWARE);
		}
	};

	const requestStop = (requested: StopCause): void => {
		if (cause) {
			return;
		}

		cause = requested;
		setTimeout(() => {
			void end(`${requested.reason}; the time for the stop is over`, daemon ? EXIT_SOFTWARE : 0);
		}, Math.max(0, leftMs() - END_MARGIN_MS));
		if (daemon) {
			void stopDaemon(requested, daemon);
		} else {
			onStopDuringStart?.();
		}
	};

	return {
		receiveSignal({signal, atMs}: ReceivedSignal): void {
			log.info('signal received', {
				signal, phase, active: countActive(), upForMs: Math.round(atMs), effect: describeEffect(signal, cause !== undefined),
			});
			onSignal?.(signal, phase);
			if (signal !== 'SIGHUP') {
				requestStop({reason: signal, atMs});
			}
		},
		receiveError(error: unknown, origin: string): void {
			errors++;
			if (errors <= MAX_ERROR_LINES) {
				log.error('uncaught error; the process stops', {
					error, origin, phase, active: countActive(),
				});
			}

			onError?.(phase);
			if (phase === 'starting') {
				void end('uncaught error during the start', EXIT_SOFTWARE);
			} else {
				requestStop({reason: 'uncaught error', atMs: performance.now()});
			}
		},
		/** The start is over; a stop that was asked for meanwhile begins. */
		markRunning(running: RunningDaemon): void {
			if (phase !== 'starting') {
				return;
			}

			daemon = running;
			phase = 'running';
			if (cause) {
				void stopDaemon(cause, running);
			}
		},
		markFailed(error: unknown): void {
			if (cause) {
				log.info('start given up', {error});
				void end(`${cause.reason} during the start`, 0);
				return;
			}

			log.error('could not start', {error});
			void end('the start failed', EXIT_SOFTWARE);
		},
	};
};
