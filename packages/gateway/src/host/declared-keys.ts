/**
The interface by which the platform adapter defines the keys of the declared
state and the encoding of their values.
*/
import type {Result} from 'neverthrow';
import type {DeclaredEntry} from '@siskinhub/declared/declared-entry.js';
import type {DeclaredRoutes} from '../routes/declared-routes.js';
import type {Upstream} from '../upstreams/upstream.js';

type DeclaredFact =
	| {readonly kind: 'routes'; readonly routes: Result<DeclaredRoutes, string>}
	/** `upstream` is absent if the entry was deleted, and an error if its value cannot be decoded. */
	| {readonly kind: 'upstream'; readonly id: string; readonly upstream?: Result<Upstream, string>}
	| {readonly kind: 'other'};

export type DeclaredKeys = {
	/** Prefix of the keys of the replica groups' lists of copy holders; the number of the group follows. */
	readonly groups: string;
	/** Prefix of the keys of registered disks; the id of the disk follows. */
	readonly disks: string;
	readonly decode: (entry: DeclaredEntry) => DeclaredFact;
	/** Returns the host whose copies are to be moved away, or `undefined` if the key is no such request of the operators. */
	readonly decodeRetireRequest: (key: string) => string | undefined;
	/** Returns the entry that reports to the operators whether the host holds no copies any more. */
	readonly encodeRetireStatus: (host: string, isDone: boolean) => {readonly key: string; readonly value: string};
};
