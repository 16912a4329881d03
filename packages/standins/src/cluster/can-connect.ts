/**
Checks whether a process listens on a port of the loopback interface.
*/
import {connect} from 'node:net';

/** Resolves with `true` once connected, with `false` if the connection fails. */
export const canConnect = async (port: number): Promise<boolean> => new Promise(resolve => {
	const socket = connect(port, '127.0.0.1');
	socket.once('connect', () => {
		socket.destroy();
		resolve(true);
	});
	socket.once('error', () => {
		resolve(false);
	});
});
