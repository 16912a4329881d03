/**
Finds free ports on the loopback interface.
*/
import {once} from 'node:events';
import {createServer, type Server} from 'node:net';

// Below the range from which the kernel draws the ports of outgoing connections, one of which might take a port before its process listens.
const FIRST_PORT = 20_000;
const LAST_PORT = 32_000;

const tryListen = async (port: number): Promise<Server | undefined> => {
	const server = createServer().listen(port, '127.0.0.1');
	try {
		await once(server, 'listening');
		return server;
	} catch {
		return undefined;
	}
};

const holdFreePort = async (): Promise<{readonly port: number; readonly server: Server}> => {
	for (;;) {
		const port = FIRST_PORT + Math.floor(Math.random() * (LAST_PORT - FIRST_PORT));
		const server = await tryListen(port);
		if (server) {
			return {port, server};
		}
	}
};

/** Holds all of them open until the last was found, so that no two are equal. */
export const allocatePorts = async (count: number): Promise<number[]> => {
	const held = await Promise.all(Array.from({length: count}, holdFreePort));
	await Promise.all(held.map(async ({server}) => {
		server.close();
		await once(server, 'close');
	}));
	return held.map(({port}) => port);
};
