/**
What the system uses of the platform's service. The adapter behind it speaks
the service's HTTP; tests pass an in-memory one.
*/
import type {Result} from 'neverthrow';
import type {KeyValue} from './key-value.js';
import type {PlatformError} from './platform-error.js';
import type {PlatformHost} from './platform-host.js';
import type {PutOutcome} from './put-outcome.js';

/** Each method is one counted call to the platform's service. */
export type PlatformClient = {
	readonly get: (key: string) => Promise<Result<KeyValue | undefined, PlatformError>>;
	/** All keys that begin with `prefix`, sorted by key. */
	readonly list: (prefix: string) => Promise<Result<readonly KeyValue[], PlatformError>>;
	/** Writes only if the key's version is `expectedVersion` (0: the key is absent). The key vanishes when `lease` lapses. */
	readonly put: (request: {
		readonly key: string;
		readonly value: string;
		readonly expectedVersion: number;
		readonly lease?: string;
	}) => Promise<Result<PutOutcome, PlatformError>>;
	readonly grantLease: (ttlMs: number) => Promise<Result<{readonly lease: string}, PlatformError>>;
	/** `alive: false` when the lease lapsed before the call. */
	readonly renewLease: (lease: string) => Promise<Result<{readonly alive: boolean}, PlatformError>>;
	readonly revokeLease: (lease: string) => Promise<Result<void, PlatformError>>;
	/** Waits up to `timeoutMs` for a change under `prefix` after the platform's revision `after`, or from now on; returns the new revision, `undefined` if none is known. */
	readonly watch: (request: {
		readonly prefix: string;
		readonly after?: number;
		readonly timeoutMs: number;
	}) => Promise<Result<{readonly revision?: number; readonly changed: readonly KeyValue[]}, PlatformError>>;
	/** The platform's lagging list of hosts. */
	readonly listHosts: () => Promise<Result<readonly PlatformHost[], PlatformError>>;
};
