/**
Serves links to other processes over TCP.
*/
import {createServer, type AddressInfo} from 'node:net';
import {attachLink} from './attach-link.js';
import type {LinkSettings} from './link-settings.js';
import {listenWhenFree} from './listen-when-free.js';
import type {PeerLink} from './peer-link.js';
import type {PeerServer} from './peer-server.js';

type PeerServerOptions = {
	readonly ip: string;
	/** 0 takes any free port. */
	readonly port: number;
	readonly settings: LinkSettings;
	readonly onLink?: (link: PeerLink) => void;
	/** Milliseconds for which the address may be in use; 0 by default. */
	readonly waitMs?: number;
	readonly log?: Parameters<typeof listenWhenFree>[1]['log'];
};

/** Starts to listen; rejects if the address is in use for longer than `waitMs` or cannot be bound. */
export const createPeerServer = async ({ip, port, settings, onLink, waitMs, log}: PeerServerOptions): Promise<PeerServer> => {
	const links = new Set<PeerLink>();
	const server = createServer(socket => {
		const link = attachLink(socket, settings);
		links.add(link);
		link.onClosed(() => {
			links.delete(link);
		});
		onLink?.(link);
	});
	await listenWhenFree(server, {
		ip, port, waitMs, log,
	});
	const {port: boundPort} = server.address() as AddressInfo;

	return {
		address: `http://${ip}:${boundPort}`,
		async close() {
			server.close();
			for (const link of links) {
				link.close('the process is stopping');
			}
		},
	};
};
