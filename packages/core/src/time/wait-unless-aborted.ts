/**
An abortable delay for background loops.
*/

/** Resolves after `ms` milliseconds, or as soon as the signal aborts. The timer does not keep the process alive. */
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
