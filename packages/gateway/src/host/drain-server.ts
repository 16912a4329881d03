/**
Ends a planned stop: callers are served until none is left or the kill is near.
*/
import type {createGatewayServer} from '../http/create-gateway-server.js';
import {LEAVE_ROTATION_MS} from './leave-rotation-ms.js';

/** Left between the last request's end and the kill. */
const STOP_MARGIN_MS = 400;
const STOP_CHECK_MS = 50;

type DrainedServer = Awaited<ReturnType<typeof createGatewayServer>>;

/** Resolves once no request is under way, or shortly before `stopWithinMs` have passed. */
export const drainServer = async (server: DrainedServer, stopWithinMs: number): Promise<void> => new Promise(resolve => {
	// The time of day may be set while the process stops.
	const startedAt = performance.now();
	server.drain();
	const timer = setInterval(() => {
		const passedMs = performance.now() - startedAt;
		const hasLeft = passedMs >= LEAVE_ROTATION_MS;
		if (hasLeft) {
			server.stopListening();
		}

		if ((hasLeft && server.countActive() === 0) || passedMs >= stopWithinMs - STOP_MARGIN_MS) {
			clearInterval(timer);
			resolve();
		}
	}, STOP_CHECK_MS);
});
