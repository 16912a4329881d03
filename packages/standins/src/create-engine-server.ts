/**
A stand-in for a model engine, for tests in one process; `engine-server` runs
it as a process. It speaks the protocol of `docs/design/outside-protocols.md`.
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

/** An engine that is not listening yet. */
type EngineServer = {
	readonly server: Server;
	/** Every run that began. */
	readonly records: () => RunRecord[];
	/** Stops generating and cuts every connection. */
	readonly close: () => void;
};

/** By default a crash closes the server; a process exits instead. */
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
