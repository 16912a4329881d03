/**
In-memory platform client with fault injection, for tests of the log and of what
is stored in logs and accounts.
*/
import {err, ok, type Result} from 'neverthrow';
import {createKeyStore} from '@siskinhub/standins/platform/create-key-store.js';
import type {StoredKey} from '@siskinhub/standins/platform/stored-key.js';
import type {PlatformClient} from '../../platform-client.js';
import type {PlatformError} from '../../platform-error.js';
import type {PutOutcome} from '../../put-outcome.js';

type CallFault = {
	/** Delay before the call takes effect, in milliseconds. */
	readonly beforeMs: number;
	/** Delay from then until the call returns, in milliseconds. */
	readonly afterMs: number;
	/** `dropped`: never takes effect. `lost`: takes effect, but the response is lost. `late`: the response is lost, and the call takes effect `LATE_CALL_DELAY_MS` later. */
	readonly fate: 'answered' | 'dropped' | 'lost' | 'late';
};

const LATE_CALL_DELAY_MS = 400;

const sleep = async (ms: number) => new Promise<void>(resolve => {
	setTimeout(resolve, ms);
});

const toKeyValue = ({key, value = '', version}: StoredKey) => ({key, value, version});
const unavailable = () => err<never, PlatformError>({kind: 'unavailable', message: 'fault'});

type FaultyClient = {
	readonly client: PlatformClient;
	/** Number of calls so far. */
	readonly calls: () => number;
	/** Makes all later calls succeed after 2 ms. */
	readonly stopFaults: () => void;
};

const FAULT_FREE_CALL: CallFault = {beforeMs: 1, afterMs: 1, fate: 'answered'};

/** Creates a client with an empty store. Call n has fault n of the list, which is repeated from its start when it is exhausted; with an empty list, all calls succeed. */
export const createFaultyClient = (faults: readonly CallFault[]): FaultyClient => {
	const store = createKeyStore();
	let hasStopped = faults.length === 0;
	let calls = 0;

	const nextFault = () => {
		const fault = faults[calls % faults.length];
		calls++;
		return hasStopped || !fault ? FAULT_FREE_CALL : fault;
	};

	const call = async <Value>(run: () => Value): Promise<Result<Value, PlatformError>> => {
		const {beforeMs, afterMs, fate} = nextFault();
		await sleep(beforeMs);
		if (fate === 'late') {
			setTimeout(run, LATE_CALL_DELAY_MS);
		}

		const value = fate === 'dropped' || fate === 'late' ? undefined : run();
		await sleep(afterMs);
		return fate === 'answered' ? ok(value!) : unavailable();
	};

	const get = (key: string) => store.read({key}).map(stored => toKeyValue(stored))[0];

	const put = (request: Parameters<PlatformClient['put']>[0]): PutOutcome => {
		const stored = store.compareAndSwap(request);
		const current = get(request.key);
		return stored && current ? {kind: 'stored', version: current.version} : {kind: 'conflict', ...(current && {current})};
	};

	const client: Pick<PlatformClient, 'get' | 'list' | 'put'> = {
		get: async key => call(() => get(key)),
		list: async prefix => call(() => store.read({key: prefix, rangeEnd: `${prefix}~`}).map(stored => toKeyValue(stored))),
		put: async request => call(() => put(request)),
	};
	return {
		client: client as PlatformClient,
		calls: () => calls,
		stopFaults() {
			hasStopped = true;
		},
	};
};
