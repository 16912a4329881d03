/**
Builds the operator's configuration of the small deployment.
*/

const HOST = 'trenza.example';

const STREAMING = {
	host: HOST, kind: 'streaming', timeoutMs: 5000, targetLatencyMs: 250, service: 'modelos', attempts: 1, retentionS: 60, stickySessions: true, targetGapMs: 250,
};

/** The arguments are further fields of the two streaming routes, by the name of the route: `kept` keeps what was said, `guide` may be resumed. */
export const buildConfig = ({kept = {}, guide = {}} = {}) => ({
	version: 7,
	routes: [
		{
			...STREAMING, name: 'kept', prefix: '/kept/', priority: 1, retainContext: true, resumable: false, ...kept,
		},
		{
			...STREAMING, name: 'guide', prefix: '/guide/', priority: 0, retainContext: false, resumable: true, ...guide,
		},
		{
			name: 'stock', host: HOST, prefix: '/stock/', kind: 'safe', timeoutMs: 2000, targetLatencyMs: 400, priority: 2, service: 'pedidos',
		},
		{
			name: 'release', host: HOST, prefix: '/release/', kind: 'unsafe', timeoutMs: 6000, targetLatencyMs: 1200, priority: 2, service: 'pedidos', attempts: 1,
		},
	],
	services: [
		{
			name: 'modelos', healthPath: '/health', connectionLimit: 370, engine: {slots: 64, kvCacheTokens: 203_661, tokensPerEvent: 3},
		},
		{
			name: 'pedidos', healthPath: '/health', connectionLimit: 110,
		},
	],
	limits: {
		maxHeaderBytes: 16_384, maxBodyBytes: 4_194_304, headerTimeoutMs: 3000, idleTimeoutMs: 15_000,
	},
});
