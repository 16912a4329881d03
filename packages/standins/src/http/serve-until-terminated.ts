/**
Runs a stand-in's server until the process is terminated.
*/
import type {Server} from 'node:http';
import type {AddressInfo} from 'node:net';
import process from 'node:process';

/** Listens, prints `{"listening": "http://IP:PORT"}` on standard output, and exits with 0 on SIGTERM. */
export const serveUntilTerminated = (server: Server, ip: string, port: number): void => {
	process.on('SIGTERM', () => {
		process.exit(0);
	});
	server.listen(port, ip, () => {
		const {address, port: boundPort} = server.address() as AddressInfo;
		process.stdout.write(`${JSON.stringify({listening: `http://${address}:${boundPort}`})}\n`);
	});
};
