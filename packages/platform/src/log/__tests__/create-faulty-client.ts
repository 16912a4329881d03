/**
An in-memory platform client for tests of the log, whose calls are delayed,
dropped, lost after they took effect, or carried out late.
*/
import {err, ok, type Result} from 'neverthrow';
import {createKeyStore} from '@siskinhub/standins/platform/create-key-store.js';
import type {StoredKey} from '@siskinhub/standins/platform/stored-key.js';
import type {PlatformClient} from '../../platform-client.js';
import type {PlatformError} from '../../platform-error.js';
import type {PutOutcome} from '../../put-outcome.js';

type CallFault = {
	readonly beforeMs: number;
	readonly afterMs: number;
	readonly fate: 'answered' | 'dropped' | 'lost' | 'late';
};

const LATE_MS = 400;

const sleep = async (ms: number) => new Promise<void>(resolve => {
	setTimeout(resolve, ms);
});

const toKeyValue = ({key, value = '', version}: StoredKey) => ({key, value, version});
const unavailable = () => err<never, PlatformError>({kind: 'unavailable', message: 'fault'});

type FaultyClient = {
	readonly client: PlatformClient;
	/** Number of calls so far. */
	readonly calls: () => number;
	/** Lets all later calls be answered. */
	readonly heal: () => void;
};

const HEALTHY_CALL: CallFault = {beforeMs: 1, afterMs: 1, fate: 'answered'};

/** Creates a client with an empty store; call n meets fault n, and the list begins anew at its end. */
export const createFaultyClient = (faults: readonly CallFault[]): FaultyClient => {
	const store = createKeyStore();
	let isHealed = faults.length === 0;
	let calls = 0;

	const nextFault = () => {
		const fault = faults[calls % faults.length];
		calls++;
		return isHealed || !fault ? HEALTHY_CALL : fault;
	};

	const call = async <Value>(run: () => Value): Promise<Result<Value, PlatformError>> => {
		const {beforeMs, afterMs, fate} = nextFault();
		await sleep(beforeMs);
		if (fate === 'late') {
			setTimeout(run, LATE_MS);
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
		heal() {
			isHealed = true;
		},
	};
};
