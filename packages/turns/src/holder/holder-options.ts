/**
What a holder needs to maintain its disk's part in the replica groups.
*/
import type {Logger} from '@siskinhub/observe/logger.js';
import type {PeerLink} from '@siskinhub/peer/peer-link.js';
import type {CopyStore} from '../disk/copy-store.js';
import type {Holder} from '../membership/holder.js';
import type {HolderRegistry} from './holder-registry.js';
import type {SyncCopy} from './sync-copy.js';

export type HolderOptions = {
	readonly self: Holder;
	readonly store: CopyStore;
	readonly registry: HolderRegistry;
	readonly linkTo: (holder: Holder) => PeerLink;
	/** Returns the hosts that operators are retiring. */
	readonly listRetiring: () => ReadonlySet<string>;
	/** Called repeatedly by the planner with each retiring host and whether no group has a disk of it any more, so that its copies are no longer needed. */
	readonly onRetiring: (host: string, isEmptied: boolean) => void;
	/** Number of disks that may be lost at the same time. */
	readonly losses: number;
	/** Milliseconds without an open link after which a holder counts as lost. */
	readonly lostAfterMs: number;
	/** Copies to this disk what the current holders of a group have. */
	readonly syncCopy: SyncCopy;
	readonly log: Logger;
	readonly signal: AbortSignal;
};
