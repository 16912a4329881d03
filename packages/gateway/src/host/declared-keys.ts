/**
How the declared state is read: given by the adapter of the platform.
*/
import type {Result} from 'neverthrow';
import type {DeclaredEntry} from '@siskinhub/declared/declared-entry.js';
import type {DeclaredRoutes} from '../routes/declared-routes.js';
import type {Upstream} from '../upstreams/upstream.js';

type DeclaredFact =
	| {readonly kind: 'routes'; readonly routes: Result<DeclaredRoutes, string>}
	/** `upstream` is absent once the entry is deleted; an error names no upstream. */
	| {readonly kind: 'upstream'; readonly id: string; readonly upstream?: Result<Upstream, string>}
	| {readonly kind: 'other'};

/** Names of keys and the meaning of their values. */
export type DeclaredKeys = {
	/** Where the list of copy holders stands. */
	readonly holders: string;
	readonly decode: (entry: DeclaredEntry) => DeclaredFact;
	/** The host that this key asks to be emptied. */
	readonly readRetiring: (key: string) => string | undefined;
	readonly writeRetired: (host: string, isDone: boolean) => {readonly key: string; readonly value: string};
};
