/**
Serves links to other processes over HTTP/2 without TLS.
*/
import {once} from 'node:events';
import {createServer, type Http2Session} from 'node:http2';
import type {AddressInfo} from 'node:net';
import {connectNodeAdapter} from '@connectrpc/connect-node';
import {PeerService} from '@siskinhub/proto/gen/siskinhub/peer/v1/peer_pb.js';
import {createLink} from './create-link.js';
import {createOutboundQueue} from './create-outbound-queue.js';
import type {LinkSettings} from './link-settings.js';
import type {PeerLink} from './peer-link.js';
import type {PeerServer} from './peer-server.js';
import {receiveAll} from './receive-all.js';

type PeerServerOptions = {
	readonly ip: string;
	/** 0 takes any free port. */
	readonly port: number;
	readonly settings: LinkSettings;
	readonly onLink?: (link: PeerLink) => void;
};

/** Starts listening; rejects only if the address cannot be bound. */
export const createPeerServer = async ({ip, port, settings, onLink}: PeerServerOptions): Promise<PeerServer> => {
	const sessions = new Set<Http2Session>();
	const links = new Set<PeerLink>();
	const handler = connectNodeAdapter({
		routes(router) {
			router.service(PeerService, {
				async * link(frames, context) {
					const outbound = createOutboundQueue();
					const link = createLink(settings, outbound, () => {/* The stream ends with the queue. */});
					links.add(link);
					link.onClosed(() => {
						links.delete(link);
					});
					context.signal.addEventListener('abort', () => {
						link.close('the other side closed the stream');
					});
					onLink?.(link);
					void receiveAll(link, frames);
					yield * outbound.frames();
				},
			});
		},
	});
	const server = createServer(handler);
	server.on('session', session => {
		sessions.add(session);
		session.on('close', () => {
			sessions.delete(session);
		});
		session.on('error', () => {
			session.destroy();
		});
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

			for (const session of sessions) {
				session.destroy();
			}
		},
	};
};
