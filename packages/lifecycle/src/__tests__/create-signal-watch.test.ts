/**
Load: signals that come while a process is still loading its code.
*/
import {expect, it} from 'vitest';
import type {ControlSignal} from '../control-signal.js';
import {createSignalWatch} from '../create-signal-watch.js';

it('keeps signals until somebody listens, in their order, and passes on each later one', () => {
	const listeners = new Map<ControlSignal, (signal: ControlSignal) => void>();
	const watch = createSignalWatch({
		on(signal, listener) {
			listeners.set(signal, listener);
		},
	});
	const raise = (signal: ControlSignal): void => {
		listeners.get(signal)!(signal);
	};

	raise('SIGHUP');
	raise('SIGTERM');
	const received: string[] = [];
	watch.listen(({signal}) => {
		received.push(signal);
	});
	raise('SIGTERM');
	raise('SIGINT');
	expect(received).toEqual(['SIGHUP', 'SIGTERM', 'SIGTERM', 'SIGINT']);
});
