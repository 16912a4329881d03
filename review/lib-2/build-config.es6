/**
Builds a configuration of a small deployment, in the form that operators write.
*/

const ENGINE = {
	slots: 64, kvCacheTokens: 203_661, kvTokenBytes: 100, linkMbps: 1000, moves: true, backups: true, tokensPerEvent: 8, most: 12, pinMs: 4000, holdMs: 2000, handle_s: 5, models: [{name: 'm'}], // eslint-disable-line camelcase -- So the wire spells it.
};

/** `routes` take the host and other usual fields unless they name them. */
export const buildConfig = (version, routes) => ({
	version,
	routes: routes.map(route => ({
		host: 'shop.example', timeoutMs: 6000, targetLatencyMs: 800, priority: 2, attempts: 1, ...route,
	})),
	services: [
		{
			name: 'models', healthPath: '/health', connectionLimit: 370, protocol: 'h1', tls: false, engine: ENGINE,
		},
		{
			name: 'orders', healthPath: '/health', connectionLimit: 110, protocol: 'h1', tls: false,
		},
	],
	limits: {
		maxHeaderBytes: 16_384, maxBodyBytes: 4_194_304, headerTimeoutMs: 3000, idleTimeoutMs: 15_000,
	},
});
