/**
Pauses of loops that can be stopped.
*/

/** Resolves after `ms` milliseconds, or as soon as the signal aborts; keeps no process alive. */
export const waitUnlessAborted = async (ms: number, signal: AbortSignal): Promise<void> => new Promise(resolve => {
	const finish = (): void => {
		clearTimeout(timer);
		signal.removeEventListener('abort', finish);
		resolve();
	};

	const timer = setTimeout(finish, ms);
	timer.unref();
	signal.addEventListener('abort', finish);
});
