/**
Type of the pool of links that a process has dialled, one for each address.
*/
import type {PeerLink} from './peer-link.js';

/** Returns the open link to an address and dials one if there is none. */
export type PeerPool = {
	readonly get: (address: string) => PeerLink;
	readonly links: () => readonly PeerLink[];
	/** Sends what the links have deferred, see `CallOptions`. */
	readonly flushAll: () => void;
	readonly closeAll: (reason: string) => void;
};
