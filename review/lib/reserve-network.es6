/**
Reserves a part of the loopback network for one run, so that every machine of the
small deployment has an address of its own and all use the same ports.
*/
import {once} from 'node:events';
import {createServer} from 'node:net';

const PROBE_PORT = 7380;
const FIRST_BLOCK = 20;
const BLOCKS = 200;
const MAX_TRIES = 20;

const draw = () => FIRST_BLOCK + Math.floor(Math.random() * BLOCKS);

const isFree = async ip => {
	const server = createServer();
	try {
		server.listen(PROBE_PORT, ip);
		await once(server, 'listening');
		server.close();
		await once(server, 'close');
		return true;
	} catch {
		return false;
	}
};

/** Resolves to a function that returns the next unused address `127.A.B.N`. */
export const reserveNetwork = async () => {
	for (let tries = 0; tries < MAX_TRIES; tries++) {
		const prefix = `127.${draw()}.${draw()}`;
		if (await isFree(`${prefix}.1`)) {
			let last = 0;
			return () => {
				last++;
				return `${prefix}.${last}`;
			};
		}
	}

	throw new Error('no free loopback addresses were found');
};
