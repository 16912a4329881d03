/**
Measures how many bytes a connection on loopback takes if its reader stalls after the
first ones.
*/
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {connect, createServer} from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';

const PIECE = Buffer.alloc(16 * 1024, 'x');
const SETTLE_MS = 500;

/** The writer writes pieces until the kernel takes no more. */
export const measureUnreadBytes = async ip => {
	const server = createServer().listen(0, ip);
	await once(server, 'listening');
	const reader = connect({host: ip, port: server.address().port});
	reader.once('data', () => {
		reader.pause();
	});
	const [writer] = await once(server, 'connection');
	do {
		while (writer.write(PIECE) || writer.writableLength === 0) {
			// The kernel has taken it.
		}

		await delay(SETTLE_MS);
	} while (writer.writableLength === 0);

	const bytes = writer.bytesWritten - writer.writableLength;
	reader.destroy();
	writer.destroy();
	server.close();
	return bytes;
};
