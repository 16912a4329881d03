/**
Postpones the close of a port or connection until the process has accepted and
read what the kernel already held for it.

Load pattern: a busy process turns to a timer after a long turn of its event loop.
What callers have sent meanwhile lies in the kernel, which resets connections that
were not accepted when their port closes.
*/

/** A turn of the event loop as short as this leaves little time in which something new may arrive unseen. */
const SHORT_TURN_MS = 2;
/** Bounds the wait in a process that stays busy, and holds a full queue of connections, of which libuv accepts one a turn. */
const MAX_TURNS = 600;

/** Calls `run` at the end of a whole, short turn of the event loop in which `countAccepted`, the number of connections so far, has not grown, or of the last of `MAX_TURNS`. Node runs `setImmediate` right after it has accepted connections and read from sockets. */
export const runAfterReading = (run: () => void, countAccepted: () => number = () => 0): void => {
	const waitForTurn = (turnsLeft: number): void => {
		const startedAt = performance.now();
		const accepted = countAccepted();
		setImmediate(() => {
			const isCalm = performance.now() - startedAt <= SHORT_TURN_MS && countAccepted() === accepted;
			if (isCalm || turnsLeft <= 1) {
				run();
			} else {
				waitForTurn(turnsLeft - 1);
			}
		});
	};

	// The first one may run in the turn in which it was asked for, after its reading.
	setImmediate(() => {
		waitForTurn(MAX_TURNS);
	});
};
