/**
HTTP client of the platform's service, whose API follows the etcd v3 gRPC
gateway. Errors are returned as values, never thrown.
*/
import {Buffer} from 'node:buffer';
import {err, ok, type Result} from 'neverthrow';
import {Agent} from 'undici';
import * as z from 'zod';
import type {KeyValue} from './key-value.js';
import type {PlatformClient} from './platform-client.js';
import type {PlatformError} from './platform-error.js';
import type {PutOutcome} from './put-outcome.js';
import {platformResponseSchemas} from './http/platform-response-schemas.js';
import {requestJson} from './http/request-json.js';
import {readFirstChange} from './http/read-first-change.js';

const DEFAULT_CALL_TIMEOUT_MS = 2000;
const MAX_VALUE_BYTES = 1_000_000;
const MAX_CONNECTIONS = 8;

type ClientOptions = {
	/** Address of the platform's service, as `http://IP:PORT`. */
	readonly address: string;
	/** Timeout of one call, in milliseconds; for a watch, of its acceptance. */
	readonly callTimeoutMs?: number;
};

const toBase64 = (text: string) => Buffer.from(text).toString('base64');

/** Returns the exclusive end of the range of all keys that begin with `prefix`. The prefix's last character must be ASCII. */
const findRangeEnd = (prefix: string) => prefix.slice(0, -1) + String.fromCodePoint((prefix.codePointAt(prefix.length - 1) ?? 0) + 1);

const toPrefixRange = (prefix: string) => ({key: toBase64(prefix), range_end: toBase64(findRangeEnd(prefix))});

/** Creates a client that keeps a few connections open; `close` destroys them and aborts the calls in flight. */
export const createPlatformClient = ({address, callTimeoutMs = DEFAULT_CALL_TIMEOUT_MS}: ClientOptions): PlatformClient & {readonly close: () => Promise<void>} => {
	const dispatcher = new Agent({connections: MAX_CONNECTIONS, connect: {timeout: callTimeoutMs}});

	// A watch occupies a connection for as long as it waits, so watches get connections of their own.
	const watchDispatcher = new Agent({connect: {timeout: callTimeoutMs}});

	const call = async <Schema extends z.ZodType>(path: string, body: unknown, schema: Schema) => requestJson({
		dispatcher, url: address + path, body, schema, timeoutMs: callTimeoutMs,
	});

	const readRange = async (range: Readonly<Record<string, string>>): Promise<Result<readonly KeyValue[], PlatformError>> => {
		const answer = await call('/v3/kv/range', range, platformResponseSchemas.range);
		return answer.map(({kvs}) => kvs);
	};

	return {
		async get(key) {
			const found = await readRange({key: toBase64(key)});
			return found.map(([first]) => first);
		},
		list: async prefix => readRange(toPrefixRange(prefix)),
		async put({key, value, expectedVersion, lease}) {
			if (Buffer.byteLength(value) > MAX_VALUE_BYTES) {
				return err({kind: 'malformed', message: `The value of ${key} exceeds the platform's ${MAX_VALUE_BYTES} bytes.`});
			}

			const encodedKey = toBase64(key);
			const readBack = {request_range: {key: encodedKey}};
			const answer = await call('/v3/kv/txn', {
				compare: [{
					key: encodedKey, target: 'VERSION', result: 'EQUAL', version: String(expectedVersion),
				}],
				success: [{request_put: {key: encodedKey, value: toBase64(value), ...(lease !== undefined && {lease})}}, readBack],
				failure: [readBack],
			}, platformResponseSchemas.txn);
			return answer.andThen(({succeeded, current}): Result<PutOutcome, PlatformError> => {
				if (!succeeded) {
					return ok({kind: 'conflict', ...(current && {current})});
				}

				return current
					? ok({kind: 'stored', version: current.version})
					: err({kind: 'malformed', message: `The platform stored ${key} and did not return its version.`});
			});
		},
		async grantLease(ttlMs) {
			const answer = await call('/v3/lease/grant', {TTL: String(Math.ceil(ttlMs / 1000))}, platformResponseSchemas.leaseGrant);
			return answer.map(({ID}) => ({lease: ID}));
		},
		async renewLease(lease) {
			const answer = await call('/v3/lease/keepalive', {ID: lease}, platformResponseSchemas.keepalive);
			return answer.map(({result}) => ({alive: result.TTL > 0}));
		},
		async revokeLease(lease) {
			const answer = await call('/v3/lease/revoke', {ID: lease}, z.unknown());
			return answer.map(() => undefined);
		},
		watch: async ({prefix, after, timeoutMs}) => readFirstChange({
			dispatcher: watchDispatcher,
			url: `${address}/v3/watch`,
			body: {create_request: {...toPrefixRange(prefix), ...(after !== undefined && {start_revision: String(after + 1)})}},
			after,
			timeoutMs,
			openTimeoutMs: callTimeoutMs,
		}),
		listHosts: async () => call('/hosts', undefined, platformResponseSchemas.hosts),
		async close() {
			await Promise.all([dispatcher.destroy(), watchDispatcher.destroy()]);
		},
	};
};
