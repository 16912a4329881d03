/**
Serves links to other processes over TCP.
*/
import {once} from 'node:events';
import {createServer, type AddressInfo} from 'node:net';
import {attachLink} from './attach-link.js';
import type {LinkSettings} from './link-settings.js';
import type {PeerLink} from './peer-link.js';
import type {PeerServer} from './peer-server.js';

type PeerServerOptions = {
	readonly ip: string;
	/** 0 takes any free port. */
	readonly port: number;
	readonly settings: LinkSettings;
	readonly onLink?: (link: PeerLink) => void;
};

/** Starts to listen; rejects if the address cannot be bound. */
export const createPeerServer = async ({ip, port, settings, onLink}: PeerServerOptions): Promise<PeerServer> => {
	const links = new Set<PeerLink>();
	const server = createServer(socket => {
		const link = attachLink(socket, settings);
		links.add(link);
		link.onClosed(() => {
			links.delete(link);
		});
		onLink?.(link);
	});
	server.listen(port, ip);
	await once(server, 'listening');
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
