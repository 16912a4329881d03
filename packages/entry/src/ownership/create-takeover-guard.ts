/**
Holds takeovers back after an outage of the platform's service. Every lease
lapses in a long outage, so at its end no live owner is announced until it has
renewed its lease.
*/

type TakeoverGuard = {
	/** Notes whether the platform's service answered; returns whether its outage has just ended. */
	readonly noteAnswer: (isUp: boolean) => boolean;
	/** Whether owners have had `quietMs` since the last outage to announce themselves. */
	readonly isTakeoverAllowed: () => boolean;
};

/** Creates the guard of one entry; `quietMs` is in milliseconds. */
export const createTakeoverGuard = (quietPeriodMs: number): TakeoverGuard => {
	let isDown = false;
	let quietUntil = 0;
	return {
		noteAnswer(isUp) {
			const hasRecovered = isUp && isDown;
			if (hasRecovered) {
				quietUntil = Date.now() + quietPeriodMs;
			}

			isDown = !isUp;
			return hasRecovered;
		},
		isTakeoverAllowed: () => Date.now() >= quietUntil,
	};
};
