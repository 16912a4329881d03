/**
Keeps one dialled link for each address, and dials a new one when a link is
asked for and the previous one has closed.
*/
import {dialPeer} from './dial-peer.js';
import type {LinkSettings} from './link-settings.js';
import type {PeerLink} from './peer-link.js';
import type {PeerPool} from './peer-pool.js';

/** Creates an empty pool. */
export const createPeerPool = (settings: LinkSettings): PeerPool => {
	const links = new Map<string, PeerLink>();
	return {
		get(address) {
			const existing = links.get(address);
			if (existing?.isOpen()) {
				return existing;
			}

			const link = dialPeer(address, settings);
			links.set(address, link);
			link.onClosed(() => {
				if (links.get(address) === link) {
					links.delete(address);
				}
			});
			return link;
		},
		links: () => [...links.values()],
		flushAll() {
			for (const link of links.values()) {
				link.flush();
			}
		},
		closeAll(reason) {
			for (const link of links.values()) {
				link.close(reason);
			}
		},
	};
};
