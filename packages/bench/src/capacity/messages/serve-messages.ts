/**
Runs the server that the message experiment measures, in a process of its own.
*/
import {once} from 'node:events';
import {createServer} from 'node:http2';
import {create} from '@bufbuild/protobuf';
import {connectNodeAdapter} from '@connectrpc/connect-node';
import {createPeerServer} from '@siskinhub/peer/create-peer-server.js';
import {FrameSchema} from '@siskinhub/proto/gen/siskinhub/peer/v1/peer_pb.js';
import {createSampleSettings} from './create-sample-settings.js';
import {SAMPLE_MESSAGES} from './sample-messages.js';
import {UNARY_SERVICE} from './unary-service.js';

const LOOPBACK = '127.0.0.1';

/** Serves links on one port and unary calls on the other until the process ends; resolves when both ports are open. */
export const serveMessages = async (linkPort: number, unaryPort: number): Promise<void> => {
	await createPeerServer({ip: LOOPBACK, port: linkPort, settings: createSampleSettings('server')});
	const server = createServer(connectNodeAdapter({
		routes(router) {
			router.service(UNARY_SERVICE, {
				link(frame) {
					const requestCase = frame.envelopes[0]?.body.case;
					return create(FrameSchema, {envelopes: [{replyTo: 1, body: requestCase === 'grantRequest' ? SAMPLE_MESSAGES.grant : SAMPLE_MESSAGES.acknowledged}]});
				},
			});
		},
	}));
	server.listen(unaryPort, LOOPBACK);
	await once(server, 'listening');
};
