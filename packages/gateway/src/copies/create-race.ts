/**
Lets several attempts of one request run at once. The first that begins the caller's
response has won, and the others are ended at that moment, so that no answer is joined
from two.
*/
import type {ActiveCall} from '../forward/active-call.js';
import type {CallerResponse} from '../forward/caller-response.js';

/** What one attempt sees of the request. */
export type Contender = {
	readonly response: CallerResponse;
	readonly active: Pick<ActiveCall, 'onStop'>;
};

export const createRace = (response: CallerResponse) => {
	const contenders: Array<Contender & {readonly leave: () => void}> = [];
	let winner: Contender | undefined;

	const claim = (contender: Contender): void => {
		if (winner) {
			return;
		}

		winner = contender;
		for (const other of contenders) {
			if (other !== contender) {
				other.leave();
			}
		}
	};

	return {
		/** Adds an attempt. */
		enter(): Contender {
			const leaveListeners: Array<() => void> = [];
			const contender = {
				active: {onStop: undefined},
				response: {
					...response,
					isStarted: () => winner === contender && response.isStarted(),
					onDisconnect(listener: () => void) {
						leaveListeners.push(listener);
						response.onDisconnect(listener);
					},
					start(status: number, headers: string[]) {
						claim(contender);
						response.start(status, headers);
					},
				},
				/** Ends the attempt as if its caller had left. */
				leave() {
					for (const listener of leaveListeners) {
						listener();
					}
				},
			};
			contenders.push(contender);
			return contender;
		},
		/** Whether the attempt has begun the caller's response. */
		hasWon: (contender: Contender): boolean => winner === contender,
		/** A planned stop takes the request back from all attempts. */
		stop(): void {
			for (const {active} of contenders) {
				active.onStop?.();
			}
		},
	};
};
