/**
The dialling side of the links between processes.
*/
import {createClient} from '@connectrpc/connect';
import {createConnectTransport, Http2SessionManager} from '@connectrpc/connect-node';
import {PeerService} from '@siskinhub/proto/gen/siskinhub/peer/v1/peer_pb.js';
import {createLink} from './create-link.js';
import {createOutboundQueue} from './create-outbound-queue.js';
import type {LinkSettings} from './link-settings.js';
import type {PeerLink} from './peer-link.js';
import {receiveAll} from './receive-all.js';

/** Opens a link over a connection of its own, so that a silent connection is never used twice. */
export const dialPeer = (address: string, settings: LinkSettings): PeerLink => {
	const sessionManager = new Http2SessionManager(address);
	const transport = createConnectTransport({baseUrl: address, httpVersion: '2', sessionManager});
	const client = createClient(PeerService, transport);
	const controller = new AbortController();
	const outbound = createOutboundQueue();
	const link = createLink(settings, outbound, () => {
		controller.abort();
		sessionManager.abort();
	});

	void receiveAll(link, client.link(outbound.frames(), {signal: controller.signal}));
	return link;
};
