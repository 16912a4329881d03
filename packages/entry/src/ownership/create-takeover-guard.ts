/**
Holds takeovers back after an outage of the platform's service. Every lease
lapses in a long outage, so at its end no live owner is announced until it has
renewed its lease.
*/

type TakeoverGuard = {
	/** Notes whether the platform's service answered; returns whether its outage has just ended. */
	readonly noteAnswer: (isUp: boolean) => boolean;
	/** Whether owners have had `quietMs` since the last outage to announce themselves. */
	readonly mayTakeOver: () => boolean;
};

/** Creates the guard of one entry; `quietMs` is in milliseconds. */
export const createTakeoverGuard = (quietMs: number): TakeoverGuard => {
	let isDown = false;
	let quietUntil = 0;
	return {
		noteAnswer(isUp) {
			const hasReturned = isUp && isDown;
			if (hasReturned) {
				quietUntil = Date.now() + quietMs;
			}

			isDown = !isUp;
			return hasReturned;
		},
		mayTakeOver: () => Date.now() >= quietUntil,
	};
};
