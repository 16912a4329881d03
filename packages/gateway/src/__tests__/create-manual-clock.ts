/**
A clock that stands still until a test advances it.
*/

const START_MS = 1000;

/** `now` returns milliseconds. */
export const createManualClock = () => {
	let at = START_MS;
	return {
		now: () => at,
		advance(ms: number) {
			at += ms;
		},
	};
};
