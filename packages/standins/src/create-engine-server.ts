/**
HTTP server that stands in for a model engine, for use inside a test;
`engine-server` runs it as a process of its own. It implements the protocol of
`docs/design/outside-protocols.md`.
*/
import type {Server} from 'node:http';
import {createCacheRoutes} from './engine/create-cache-routes.js';
import {createControlRoutes} from './engine/create-control-routes.js';
import {createEngine} from './engine/create-engine.js';
import {createStreamRoutes} from './engine/create-stream-routes.js';
import type {EngineOptions} from './engine/engine-options.js';
import type {RunRecord} from './engine/run-record.js';
import {createRoutedServer} from './http/create-routed-server.js';

const DEFAULTS = {
	model: 'modelos-trenza', slots: 8, tokenDelayMs: 5, cacheTokens: 200_000, checksFencing: false, variesAnswers: false,
};

/** The server is not listening yet. */
type EngineServer = {
	readonly server: Server;
	/** Every run that was started. */
	readonly records: () => RunRecord[];
	/** Stops generating and closes the server with every connection. */
	readonly close: () => void;
};

/** Creates an engine with defaults for absent options. A crash closes the server unless `options.crash` does something else. */
export const createEngineServer = (options: Partial<EngineOptions> = {}): EngineServer => {
	const engine = createEngine({
		crash() {
			close();
		}, ...DEFAULTS, ...options,
	});
	const server = createRoutedServer([
		...createStreamRoutes(engine),
		...createCacheRoutes(engine),
		...createControlRoutes(engine),
	]);
	const close = (): void => {
		engine.batch.stop();
		server.close();
		server.closeAllConnections();
	};

	return {server, records: engine.records, close};
};
