/**
The part of the platform's service that stores the declared state and the values
on which processes must agree.
*/
import type {DeclarationSource} from './declaration-source.js';
import type {DeclaredEntry} from './declared-entry.js';
import type {KeyChange} from './key-change.js';

/** Reads, and writes by compare-and-swap. The service counts each call. */
export type DeclarationStore = DeclarationSource & {
	/** Makes all of the changes or none. Resolves to the new entries, or to `undefined` if a key had another revision than expected or the service did not answer. */
	readonly commit: (changes: readonly KeyChange[]) => Promise<readonly DeclaredEntry[] | undefined>;
};
