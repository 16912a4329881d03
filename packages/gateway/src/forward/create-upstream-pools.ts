/**
Keeps a pool of connections for each upstream. A connection carries one request
at a time; a pool grows on demand up to this process's share of the connections
that the upstream accepts. The first idle connection is always preferred, so that
those opened for a burst become idle and close. Requests wait here and not in the
HTTP client, which would bind each to one connection and to the headers it has then.
*/
import type {Upstream} from '../upstreams/upstream.js';
import {createUpstreamConnection} from './create-upstream-connection.js';
import type {UpstreamPool, UpstreamPools} from './upstream-pools.js';

/** An upstream in the same region accepts within milliseconds and an unreachable one never does; the request can still run elsewhere. */
const CONNECT_TIMEOUT_MS = 400;
/** Short, because upstreams close idle connections without notice. */
const IDLE_TIMEOUT_MS = 4000;
/** A connection is closed this long before the keep-alive timeout that the upstream announced. */
const IDLE_MARGIN_MS = 1000;
const MIN_CONNECTIONS = 4;

type PoolOptions = {
	/** Connections that this process may open to one upstream of the service. */
	readonly getMaxConnections: (service: string) => number;
};

type Connection = ReturnType<typeof createUpstreamConnection>;

type WaitingRequest = {readonly sendOn: (connection: Connection) => void; readonly drop: () => void};

const createPool = (address: string, maxConnections: number): UpstreamPool & {readonly close: () => void} => {
	const connections: Connection[] = [];
	const waiting = new Set<WaitingRequest>();
	let isClosed = false;

	const openConnection = (): Connection => {
		const connection = createUpstreamConnection({
			origin: `http://${address}`, connectTimeoutMs: CONNECT_TIMEOUT_MS, onFree: sendWaiting, onLost() {
				const index = connections.indexOf(connection);
				if (index !== -1) {
					connections.splice(index, 1);
					sendWaiting();
				}
			}, client: {
				pipelining: 1,
				headersTimeout: 0,
				bodyTimeout: 0,
				keepAliveTimeout: IDLE_TIMEOUT_MS,
				keepAliveMaxTimeout: IDLE_TIMEOUT_MS,
				keepAliveTimeoutThreshold: IDLE_MARGIN_MS,
			},
		});
		connections.push(connection);
		return connection;
	};

	const findFree = (): Connection | undefined => connections.find(connection => connection.isIdle()) ?? (connections.length < maxConnections ? openConnection() : undefined);

	function sendWaiting(): void {
		for (const request of waiting) {
			const connection = findFree();
			if (!connection) {
				return;
			}

			waiting.delete(request);
			request.sendOn(connection);
		}
	}

	return {
		dispatch(build, handler, onDropped) {
			const request: WaitingRequest = {
				sendOn(connection) {
					const options = build();
					if (options) {
						connection.dispatch(options, handler);
					}
				},
				drop: onDropped,
			};
			if (isClosed) {
				queueMicrotask(onDropped);
			} else {
				waiting.add(request);
				sendWaiting();
			}

			return () => {
				waiting.delete(request);
			};
		},
		close(): void {
			isClosed = true;
			const dropped = [...waiting];
			waiting.clear();
			for (const connection of connections) {
				void connection.close();
			}

			for (const request of dropped) {
				request.drop();
			}
		},
	};
};

/** Creates each pool on first use. */
export const createUpstreamPools = ({getMaxConnections}: PoolOptions): UpstreamPools => {
	const pools = new Map<string, ReturnType<typeof createPool>>();
	const buildKey = ({id, address, bornAtMs}: Upstream): string => `${id} ${address} ${bornAtMs}`;

	return {
		get(upstream) {
			const key = buildKey(upstream);
			const pool = pools.get(key) ?? createPool(upstream.address, Math.max(MIN_CONNECTIONS, getMaxConnections(upstream.service)));
			pools.set(key, pool);
			return pool;
		},
		drop(upstream) {
			const key = buildKey(upstream);
			pools.get(key)?.close();
			pools.delete(key);
		},
		close() {
			for (const pool of pools.values()) {
				pool.close();
			}

			pools.clear();
		},
	};
};
