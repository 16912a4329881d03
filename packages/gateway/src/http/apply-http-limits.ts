/**
Puts the declared limits on time into force for new and open connections.
*/
import type {Server} from 'node:http';
import type {DeclaredRoutes} from '../routes/declared-routes.js';

const DEFAULT_IDLE_TIMEOUT_MS = 15_000;
const DEFAULT_HEADER_TIMEOUT_MS = 3000;

export const applyHttpLimits = (server: Server, limits: DeclaredRoutes['limits'] | undefined): void => {
	server.keepAliveTimeout = limits?.idleTimeoutMs ?? DEFAULT_IDLE_TIMEOUT_MS;
	server.headersTimeout = limits?.headerTimeoutMs ?? DEFAULT_HEADER_TIMEOUT_MS;
};
