/**
What operators are shown of a running system.
*/
import type {Holder} from '@siskinhub/turns/holders/holder.js';
import type {Route} from '../routes/route.js';
import type {Upstream} from '../upstreams/upstream.js';

/** A process that was asked; `host` and the others are missing where it did not answer. */
type MemberState = {
	readonly address: string;
	readonly host?: string;
	readonly dataCentre?: string;
	/** The disk that it holds copies on. */
	readonly diskId?: string;
	/** Changes of the declared state that it does not have yet. */
	readonly changesBehind?: number;
};

export type SystemState = {
	/** Revision of the platform's service that the rest is of. */
	readonly revision: number;
	/** `undefined` where no routes are declared; an error where they cannot be read. */
	readonly routes?: {readonly version: number; readonly routes: readonly Route[]} | {readonly error: string};
	readonly upstreams: readonly Upstream[];
	/** Entries that name no upstream, with the reason. */
	readonly unreadable: ReadonlyArray<{readonly id: string; readonly reason: string}>;
	readonly holders?: {readonly version: number; readonly current: readonly Holder[]; readonly next?: readonly Holder[]};
	/** Hosts that are being emptied. */
	readonly retiring: readonly string[];
	readonly members: readonly MemberState[];
};
