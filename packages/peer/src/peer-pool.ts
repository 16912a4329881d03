/**
Type of the pool of links that a process has dialled, one for each address.
*/
import type {PeerLink} from './peer-link.js';

/** Returns the open link to an address and dials one if there is none. */
export type PeerPool = {
	readonly get: (address: string) => PeerLink;
	readonly links: () => readonly PeerLink[];
	readonly closeAll: (reason: string) => void;
};
