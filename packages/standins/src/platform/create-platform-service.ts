/**
Request handlers of the platform stand-in, from request body to response,
without HTTP. Faults are applied by the server that calls them.
*/
import {Buffer} from 'node:buffer';
import type {z} from 'zod';
import {createKeyStore} from './create-key-store.js';
import {createLeaseStore} from './create-lease-store.js';
import {platformRequestSchemas} from './platform-request-schemas.js';
import type {StoredKey} from './stored-key.js';

const MAX_VALUE_BYTES = 1_000_000;

type ServiceResponse = {readonly status: number; readonly body: unknown};
type Transaction = z.infer<typeof platformRequestSchemas.txn>;
type Operation = Transaction['success'][number];

type PlatformService = {
	/** Returns the response to a request, or `undefined` if the path does not exist. */
	readonly handle: (path: string, body: unknown) => ServiceResponse | undefined;
	/** Calls `send` with each message of a watch; returns a function that ends the watch, or `undefined` for a malformed request. */
	readonly watch: (body: unknown, send: (message: unknown) => void) => (() => void) | undefined;
	/** Number of requests so far, malformed ones included; requests for leases count as writes. */
	readonly stats: () => {readonly reads: number; readonly writes: number; readonly watches: number};
	readonly close: () => void;
};

const toBase64 = (text: string) => Buffer.from(text).toString('base64');
const createBadRequest = (message: string): ServiceResponse => ({status: 400, body: {code: 3, message}});

const toKeyValue = (stored: StoredKey) => ({
	key: toBase64(stored.key),
	value: toBase64(stored.value ?? ''),
	version: String(stored.value === undefined ? 0 : stored.version),
	mod_revision: String(stored.modRevision),
	...(stored.lease !== undefined && {lease: stored.lease}),
});

const toEvent = (stored: StoredKey) => ({
	...(stored.value === undefined && {type: 'DELETE'}),
	kv: toKeyValue(stored),
});

/** Creates the service with an empty store. */
export const createPlatformService = (): PlatformService => {
	const keys = createKeyStore();
	const leases = createLeaseStore(keys.deleteByLease);
	const stats = {reads: 0, writes: 0, watches: 0};
	const header = () => ({revision: String(keys.revision())});

	const readRange = (range: z.infer<typeof platformRequestSchemas.range>) => {
		const found = keys.read({key: range.key, rangeEnd: range.range_end});
		return {header: header(), kvs: found.map(stored => toKeyValue(stored)), count: String(found.length)};
	};

	const runOperation = (operation: Operation) => 'request_put' in operation
		? {response_put: {header: header()}}
		: {response_range: readRange(operation.request_range)};

	const runTransaction = ({compare: [compare], success, failure}: Transaction): ServiceResponse => {
		const [first] = success;
		if (!compare || !first || !('request_put' in first) || first.request_put.key !== compare.key) {
			return createBadRequest('The first operation must put the compared key.');
		}

		const {key, value, lease} = first.request_put;
		if (Buffer.byteLength(value) > MAX_VALUE_BYTES) {
			return createBadRequest(`The value exceeds ${MAX_VALUE_BYTES} bytes.`);
		}

		if (lease !== undefined && !leases.isAlive(lease)) {
			return {status: 404, body: {code: 5, message: 'requested lease not found'}};
		}

		const succeeded = keys.compareAndSwap({
			key, value, expectedVersion: compare.version, lease,
		});
		const responses = (succeeded ? success : failure).map(operation => runOperation(operation));
		return {status: 200, body: {header: header(), succeeded, responses}};
	};

	const renewLease = (lease: string): ServiceResponse => ({
		status: 200,
		body: {result: {ID: lease, TTL: String(leases.renew(lease))}},
	});

	const createHandler = <Schema extends z.ZodType>(
		schema: Schema,
		run: (request: z.infer<Schema>) => ServiceResponse,
		counter: 'reads' | 'writes',
	) => (body: unknown): ServiceResponse => {
		stats[counter]++;
		const parsed = schema.safeParse(body);
		return parsed.success ? run(parsed.data) : createBadRequest(parsed.error.message);
	};

	const handlers = new Map<string, (body: unknown) => ServiceResponse>([
		['/v3/kv/range', createHandler(platformRequestSchemas.range, range => ({status: 200, body: readRange(range)}), 'reads')],
		['/v3/kv/txn', createHandler(platformRequestSchemas.txn, runTransaction, 'writes')],
		['/v3/lease/grant', createHandler(platformRequestSchemas.leaseGrant, ({TTL}) => ({
			status: 200,
			body: {header: header(), ID: leases.grant(TTL), TTL: String(TTL)},
		}), 'writes')],
		['/v3/lease/keepalive', createHandler(platformRequestSchemas.leaseId, ({ID}) => renewLease(ID), 'writes')],
		['/v3/lease/revoke', createHandler(platformRequestSchemas.leaseId, ({ID}) => {
			leases.revoke(ID);
			return {status: 200, body: {header: header()}};
		}, 'writes')],
	]);

	return {
		handle: (path, body) => handlers.get(path)?.(body),
		watch(body, send) {
			stats.watches++;
			const parsed = platformRequestSchemas.watch.safeParse(body);
			if (!parsed.success) {
				return undefined;
			}

			const {key, range_end: rangeEnd, start_revision: since = keys.revision() + 1} = parsed.data.create_request;
			const sendEvents = (changed: readonly StoredKey[]) => {
				send({result: {header: header(), events: changed.map(stored => toEvent(stored))}});
			};

			send({result: {header: header(), created: true}});
			const earlierChanges = keys.readChanged({key, rangeEnd}, since);
			if (earlierChanges.length > 0) {
				sendEvents(earlierChanges);
			}

			return keys.subscribe(changed => {
				if (rangeEnd === undefined ? changed.key === key : changed.key >= key && changed.key < rangeEnd) {
					sendEvents([changed]);
				}
			});
		},
		stats: () => ({...stats}),
		close: leases.close,
	};
};
