/**
Keeps connections to upstreams: one request at a time on each, as many as are
needed up to this process's share of what the upstream accepts.
*/
import {Pool} from 'undici';
import type {Upstream} from '../upstreams/upstream.js';
import type {UpstreamPools} from './upstream-pools.js';

/** An upstream in the same region accepts a connection in milliseconds; one that is cut off never does. */
const CONNECT_TIMEOUT_MS = 1000;
/** Idle connections are given up early, as upstreams close theirs without notice. */
const IDLE_TIMEOUT_MS = 4000;
/** An idle connection is not used in the last part of the time that the upstream announced for it. */
const IDLE_MARGIN_MS = 1000;
const LEAST_CONNECTIONS = 4;

type PoolOptions = {
	/** Connections that this process may open to one upstream of the service. */
	readonly countConnections: (service: string) => number;
};

/** Creates the pools as they are asked for. */
export const createUpstreamPools = ({countConnections}: PoolOptions): UpstreamPools => {
	const pools = new Map<string, Pool>();
	const keyOf = ({id, address, bornAtMs}: Upstream): string => `${id} ${address} ${bornAtMs}`;

	const create = ({address, service}: Upstream): Pool => new Pool(`http://${address}`, {
		connections: Math.max(LEAST_CONNECTIONS, countConnections(service)),
		pipelining: 1,
		connect: {timeout: CONNECT_TIMEOUT_MS},
		headersTimeout: 0,
		bodyTimeout: 0,
		keepAliveTimeout: IDLE_TIMEOUT_MS,
		keepAliveMaxTimeout: IDLE_TIMEOUT_MS,
		keepAliveTimeoutThreshold: IDLE_MARGIN_MS,
	});

	return {
		get(upstream) {
			const key = keyOf(upstream);
			const pool = pools.get(key) ?? create(upstream);
			pools.set(key, pool);
			return pool;
		},
		drop(upstream) {
			const key = keyOf(upstream);
			const pool = pools.get(key);
			pools.delete(key);
			void pool?.close();
		},
		close() {
			for (const pool of pools.values()) {
				void pool.close();
			}
		},
	};
};
