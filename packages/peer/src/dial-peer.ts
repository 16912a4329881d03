/**
Dials links to other processes.
*/
import {connect, type Socket} from 'node:net';
import {attachLink} from './attach-link.js';
import type {LinkSettings} from './link-settings.js';
import type {PeerLink} from './peer-link.js';

/** The kernel retransmits a lost SYN only after one second; a new connection succeeds sooner. */
const CONNECT_TIMEOUT_MS = 600;

/** Opens a link over a new connection, so that a connection that has gone silent is never reused. `address` is `http://IP:PORT`. */
export const dialPeer = (address: string, settings: LinkSettings, connectSocket: (target: {readonly host: string; readonly port: number}) => Socket = connect): PeerLink => {
	const {hostname, port} = new URL(address);
	const socket = connectSocket({host: hostname, port: Number(port)});
	const timer = setTimeout(() => {
		// If this process was busy for the whole timeout, timers run before the socket's `connect` event.
		setImmediate(() => {
			if (socket.pending) {
				socket.destroy(new Error(`could not connect within ${CONNECT_TIMEOUT_MS} ms`));
			}
		});
	}, CONNECT_TIMEOUT_MS);
	for (const event of ['connect', 'close']) {
		socket.once(event, () => {
			clearTimeout(timer);
		});
	}

	return attachLink(socket, settings);
};
