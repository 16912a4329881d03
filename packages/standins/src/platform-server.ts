/**
Runs the platform stand-in as a process: `platform-server --ip 127.0.0.1 --port
N`. Prints one JSON line when it listens and exits with 0 on SIGTERM.
*/
import process from 'node:process';
import {parseArgs} from 'node:util';
import {createPlatformServer} from './platform/create-platform-server.js';

const {values} = parseArgs({
	options: {
		ip: {type: 'string', default: '127.0.0.1'},
		port: {type: 'string', default: '0'},
	},
});
const server = await createPlatformServer({ip: values.ip, port: Number(values.port)});
let isStopping = false;
process.on('SIGTERM', async () => {
	if (!isStopping) {
		isStopping = true;
		await server.close();
		process.exit(0);
	}
});
process.stdout.write(`${JSON.stringify({listening: server.address})}\n`);
