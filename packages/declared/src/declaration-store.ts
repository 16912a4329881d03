/**
The platform's service, as far as the declared state and what must be agreed on
go through it.
*/
import type {DeclarationSource} from './declaration-source.js';
import type {DeclaredEntry} from './declared-entry.js';

/** Reads, and writes that take effect only on the expected revision. Each method is one counted call. */
export type DeclarationStore = DeclarationSource & {
	/** Writes if the key's revision is `expected` (0: the key is absent, `undefined`: whatever it is); `undefined` if it was not or nobody answered. */
	readonly write: (key: string, value: string, expected: number | undefined) => Promise<DeclaredEntry | undefined>;
};
