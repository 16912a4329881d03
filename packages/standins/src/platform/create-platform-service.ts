/**
The platform stand-in's requests as functions from body to answer, without
HTTP. Faults that concern connections live in the server round it.
*/
import {Buffer} from 'node:buffer';
import type {z} from 'zod';
import {createKeyStore} from './create-key-store.js';
import {createLeaseStore} from './create-lease-store.js';
import {platformRequests} from './platform-requests.js';
import type {StoredKey} from './stored-key.js';

const MAX_VALUE_BYTES = 1_000_000;

type Answer = {readonly status: number; readonly body: unknown};
type Transaction = z.infer<typeof platformRequests.txn>;
type Operation = Transaction['success'][number];

type PlatformService = {
	/** Answers one request, or `undefined` if there is no such path. */
	readonly handle: (path: string, body: unknown) => Answer | undefined;
	/** Calls `send` with each message of a watch; returns the function that ends it, or `undefined` for a malformed request. */
	readonly watch: (body: unknown, send: (message: unknown) => void) => (() => void) | undefined;
	readonly stats: () => {readonly reads: number; readonly writes: number; readonly watches: number};
	readonly close: () => void;
};

const toBase64 = (text: string) => Buffer.from(text).toString('base64');
const refuse = (message: string): Answer => ({status: 400, body: {code: 3, message}});

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

	const readRange = (range: z.infer<typeof platformRequests.range>) => {
		const found = keys.read({key: range.key, rangeEnd: range.range_end});
		return {header: header(), kvs: found.map(stored => toKeyValue(stored)), count: String(found.length)};
	};

	const runOperation = (operation: Operation) => 'request_put' in operation
		? {response_put: {header: header()}}
		: {response_range: readRange(operation.request_range)};

	const runTransaction = ({compare: [compare], success, failure}: Transaction): Answer => {
		const [first] = success;
		if (!compare || !first || !('request_put' in first) || first.request_put.key !== compare.key) {
			return refuse('The first operation must put the compared key.');
		}

		const {key, value, lease} = first.request_put;
		if (Buffer.byteLength(value) > MAX_VALUE_BYTES) {
			return refuse(`The value exceeds ${MAX_VALUE_BYTES} bytes.`);
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

	const renewLease = (lease: string): Answer => ({
		status: 200,
		body: {result: {ID: lease, TTL: String(leases.renew(lease))}},
	});

	const answerWith = <Schema extends z.ZodType>(
		schema: Schema,
		run: (request: z.infer<Schema>) => Answer,
		counter: 'reads' | 'writes',
	) => (body: unknown): Answer => {
		stats[counter]++;
		const parsed = schema.safeParse(body);
		return parsed.success ? run(parsed.data) : refuse(parsed.error.message);
	};

	const handlers = new Map<string, (body: unknown) => Answer>([
		['/v3/kv/range', answerWith(platformRequests.range, range => ({status: 200, body: readRange(range)}), 'reads')],
		['/v3/kv/txn', answerWith(platformRequests.txn, runTransaction, 'writes')],
		['/v3/lease/grant', answerWith(platformRequests.leaseGrant, ({TTL}) => ({
			status: 200,
			body: {header: header(), ID: leases.grant(TTL), TTL: String(TTL)},
		}), 'writes')],
		['/v3/lease/keepalive', answerWith(platformRequests.leaseId, ({ID}) => renewLease(ID), 'writes')],
		['/v3/lease/revoke', answerWith(platformRequests.leaseId, ({ID}) => {
			leases.revoke(ID);
			return {status: 200, body: {header: header()}};
		}, 'writes')],
	]);

	return {
		handle: (path, body) => handlers.get(path)?.(body),
		watch(body, send) {
			stats.watches++;
			const parsed = platformRequests.watch.safeParse(body);
			if (!parsed.success) {
				return undefined;
			}

			const {key, range_end: rangeEnd, start_revision: since = keys.revision() + 1} = parsed.data.create_request;
			const sendEvents = (changed: readonly StoredKey[]) => {
				send({result: {header: header(), events: changed.map(stored => toEvent(stored))}});
			};

			send({result: {header: header(), created: true}});
			const missed = keys.readChanged({key, rangeEnd}, since);
			if (missed.length > 0) {
				sendEvents(missed);
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
