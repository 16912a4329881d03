/**
The links that a process has dialled, one for each address.
*/
import type {PeerLink} from './peer-link.js';

/** Hands out open links, dialling where there is none. */
export type PeerPool = {
	readonly get: (address: string) => PeerLink;
	readonly links: () => readonly PeerLink[];
	readonly closeAll: (reason: string) => void;
};
