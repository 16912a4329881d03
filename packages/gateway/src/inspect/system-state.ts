/**
The state of a running system as it is shown to operators.
*/
import type {GroupId} from '@siskinhub/turns/membership/group-id.js';
import type {Holder} from '@siskinhub/turns/membership/holder.js';
import type {HolderList} from '@siskinhub/turns/membership/holder-list.js';
import type {Route} from '../routes/route.js';
import type {Upstream} from '../upstreams/upstream.js';
import type {WorkspaceState} from './workspace-state.js';

/** A process that was queried; it has only an `address` if it did not answer. */
type MemberState = {
	readonly address: string;
	readonly host?: string;
	readonly dataCentre?: string;
	/** The disk that stores its copies; absent if it holds none. */
	readonly diskId?: string;
	/** By how many revisions its copy of the declared state is behind. */
	readonly changesBehind?: number;
};

export type SystemState = {
	/** Revision of the platform's service at which the declared state was read. */
	readonly revision: number;
	/** Absent if no routes are declared; an error if they cannot be decoded. */
	readonly routes?: {readonly version: number; readonly routes: readonly Route[]; readonly workspaces?: readonly WorkspaceState[] | undefined} | {readonly error: string};
	readonly upstreams: readonly Upstream[];
	/** Entries of upstreams that cannot be decoded, with the reason. */
	readonly unreadable: ReadonlyArray<{readonly id: string; readonly reason: string}>;
	/** Registered disks of copy holders. */
	readonly disks: readonly Holder[];
	/** The lists of the replica groups that have one. */
	readonly groups: ReadonlyArray<HolderList & {readonly group: GroupId}>;
	/** Hosts whose copies operators have asked to move away. */
	readonly retiring: readonly string[];
	readonly members: readonly MemberState[];
};
