/**
The dialling side of the links between processes.
*/
import {connect, type Socket} from 'node:net';
import {attachLink} from './attach-link.js';
import type {LinkSettings} from './link-settings.js';
import type {PeerLink} from './peer-link.js';

/** The kernel repeats a lost first packet only after a second; another connection is sooner there. */
const CONNECT_TIMEOUT_MS = 600;

/** Opens a link over a connection of its own, so that a silent connection is never used twice. */
export const dialPeer = (address: string, settings: LinkSettings, open: (target: {readonly host: string; readonly port: number}) => Socket = connect): PeerLink => {
	const {hostname, port} = new URL(address);
	const socket = open({host: hostname, port: Number(port)});
	const timer = setTimeout(() => {
		// A process that was busy for as long hears of the connection only after its timers.
		setImmediate(() => {
			if (socket.pending) {
				socket.destroy(new Error(`no connection within ${CONNECT_TIMEOUT_MS} ms`));
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
