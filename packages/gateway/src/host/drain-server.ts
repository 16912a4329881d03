/**
Drains the server for a planned stop: it goes on serving callers until no request
is active or the process is about to be killed. Then the requests that have no answer
yet get a final one, since the end of the process would cut them.
*/
import type {createGatewayServer} from '../http/create-gateway-server.js';
import {runAfterReading} from '../http/run-after-reading.js';
import {LEAVE_ROTATION_MS} from './leave-rotation-ms.js';

/** Time reserved between the end of draining and the kill. */
const STOP_MARGIN_MS = 400;
/** Time reserved for final answers to reach the sockets, before the end of draining. */
const FINAL_ANSWERS_MS = 200;
const STOP_CHECK_INTERVAL_MS = 50;

type DrainedServer = Omit<Awaited<ReturnType<typeof createGatewayServer>>, 'countConnections' | 'countClosed' | 'heldBytes' | 'unparsedBytes'>;

/** Keeps listening until the balancer has taken this process out. Resolves once no request is active, or `STOP_MARGIN_MS` before `stopWithinMs` have passed. Before the latter, `stopCalls` is called once and must end the requests that have no answer yet. */
export const drainServer = async (server: DrainedServer, stopWithinMs: number, stopCalls: () => void): Promise<void> => new Promise(resolve => {
	// A monotonic clock, since the system time may be set while the process stops.
	const startedAt = performance.now();
	server.drain();
	let areCallsStopped = false;
	const end = (): void => {
		clearInterval(timer);
		// Callers learn of the end at once, and not from a reset of what they send while the process ends.
		server.closeSilent();
		resolve();
	};

	const timer = setInterval(() => {
		const passedMs = performance.now() - startedAt;
		const hasLeftRotation = passedMs >= LEAVE_ROTATION_MS;
		if (hasLeftRotation) {
			server.stopListening();
		}

		if (hasLeftRotation && server.countActive() === 0) {
			// The first reading accepts what the port still held, and the second reads its requests.
			runAfterReading(() => {
				runAfterReading(() => {
					if (server.countActive() === 0) {
						end();
					}
				}, server.countAccepted);
			}, server.countAccepted);
		}

		if (!areCallsStopped && passedMs >= stopWithinMs - STOP_MARGIN_MS - FINAL_ANSWERS_MS) {
			// Also if a busy process comes to it late: answers are written out in a later turn of the loop.
			areCallsStopped = true;
			stopCalls();
		} else if (passedMs >= stopWithinMs - STOP_MARGIN_MS) {
			end();
		}
	}, STOP_CHECK_INTERVAL_MS);
});
