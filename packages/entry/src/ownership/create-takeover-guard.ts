/**
Suspends takeovers after an outage of the platform's service. In a long outage
every lease expires, so that afterwards even a live owner is not announced until
it has renewed its lease.
*/

type TakeoverGuard = {
	/** Records whether the platform's service answered; returns whether an outage has just ended. */
	readonly noteAnswer: (isUp: boolean) => boolean;
	/** Whether owners have had `quietPeriodMs` since the last outage to announce themselves. */
	readonly isTakeoverAllowed: () => boolean;
};

/** Creates the guard of one entry. */
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
