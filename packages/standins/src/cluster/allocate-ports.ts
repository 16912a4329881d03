/**
Finds free ports on the loopback interface.
*/
import {once} from 'node:events';
import {createServer, type AddressInfo} from 'node:net';

/** Holds all of them open until the last was found, so that no two are equal. */
export const allocatePorts = async (count: number): Promise<number[]> => {
	const servers = await Promise.all(Array.from({length: count}, async () => {
		const server = createServer().listen(0, '127.0.0.1');
		await once(server, 'listening');
		return server;
	}));
	const ports = servers.map(server => (server.address() as AddressInfo).port);
	await Promise.all(servers.map(async server => {
		server.close();
		await once(server, 'close');
	}));
	return ports;
};
