/**
Defines the interface to the platform's service: a key-value store with
compare-and-swap, leases and watches, and a list of hosts. Production code uses
the HTTP client; tests may pass an in-memory implementation.
*/
import type {Result} from 'neverthrow';
import type {KeyValue} from './key-value.js';
import type {PlatformError} from './platform-error.js';
import type {PlatformHost} from './platform-host.js';
import type {PutOutcome} from './put-outcome.js';

/** Each method makes one call to the platform's service and is counted as one. */
export type PlatformClient = {
	/** Returns the record of `key`, or `undefined` if the key is absent. */
	readonly get: (key: string) => Promise<Result<KeyValue | undefined, PlatformError>>;
	/** Returns the records of all keys that begin with `prefix`, sorted by key. */
	readonly list: (prefix: string) => Promise<Result<readonly KeyValue[], PlatformError>>;
	/** Compare-and-swap: writes the key only if its version is `expectedVersion` (0: the key is absent). The key is deleted when `lease` expires. */
	readonly put: (request: {
		readonly key: string;
		readonly value: string;
		readonly expectedVersion: number;
		readonly lease?: string;
	}) => Promise<Result<PutOutcome, PlatformError>>;
	/** Creates a lease that expires unless it is renewed in time. `ttlMs` is rounded up to whole seconds. */
	readonly grantLease: (ttlMs: number) => Promise<Result<{readonly lease: string}, PlatformError>>;
	/** Renews a lease by its TTL; `alive: false` if it had expired before the call. */
	readonly renewLease: (lease: string) => Promise<Result<{readonly alive: boolean}, PlatformError>>;
	/** Ends a lease and deletes its keys. */
	readonly revokeLease: (lease: string) => Promise<Result<void, PlatformError>>;
	/** Waits up to `timeoutMs` for the first change under `prefix` after the platform's revision `after`, or from now on if that is absent. Returns the revision to continue from (`after` if nothing changed) and the changed records. */
	readonly watch: (request: {
		readonly prefix: string;
		readonly after?: number;
		readonly timeoutMs: number;
	}) => Promise<Result<{readonly revision?: number; readonly changed: readonly KeyValue[]}, PlatformError>>;
	/** Returns the platform's list of hosts, which may lag behind reality. */
	readonly listHosts: () => Promise<Result<readonly PlatformHost[], PlatformError>>;
};
