/**
Finds free ports on the loopback interface.
*/
import {once} from 'node:events';
import {createServer, type Server} from 'node:net';

// Below the kernel's range of ephemeral ports: an outgoing connection could take a port from that range before the process listens on it.
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

/** Returns `count` different ports. Each is bound until the last one is found, so that none is returned twice. */
export const allocatePorts = async (count: number): Promise<number[]> => {
	const held = await Promise.all(Array.from({length: count}, holdFreePort));
	await Promise.all(held.map(async ({server}) => {
		server.close();
		await once(server, 'close');
	}));
	return held.map(({port}) => port);
};
