/**
Waits for something that a request needs before it is passed on, until the planned
stop of the process takes the request back.
*/
import type {ActiveCall} from './active-call.js';

/** Resolves to `undefined` once the request has been taken back. The request may wait for one thing at a time. */
export const waitUnlessStopped = async <Value>(active: ActiveCall, awaited: Promise<Value>): Promise<Value | undefined> => {
	const stopped = new Promise<undefined>(resolve => {
		const giveUp = (): void => {
			resolve(undefined);
		};

		if (active.isStopped) {
			giveUp();
		} else {
			active.onStop = giveUp;
		}
	});
	return Promise.race([awaited, stopped]);
};
