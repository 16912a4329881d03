/**
The part of the platform's service that stores the declared state and the values
on which processes must agree.
*/
import type {DeclarationSource} from './declaration-source.js';
import type {DeclaredEntry} from './declared-entry.js';

/** Reads, and writes by compare-and-swap. The service counts each call. */
export type DeclarationStore = DeclarationSource & {
	/** Writes only if the key's revision is `expected` (0: the key must be absent; `undefined`: any revision). Resolves to the new entry, or to `undefined` if the revision was another one or the service did not answer. */
	readonly write: (key: string, value: string, expected: number | undefined) => Promise<DeclaredEntry | undefined>;
};
