/**
Serves one short text over HTTP, such as the readiness or the metrics.
*/
import {createServer, type Server} from 'node:http';

type TextAnswer = {readonly status: number; readonly text: string};

/** Calls `answer` for every request, whatever its path and method. */
export const serveText = ({ip, port}: {readonly ip: string; readonly port: number}, answer: () => TextAnswer | Promise<TextAnswer>): Server => {
	const server = createServer(async (req, res) => {
		req.resume();
		const {status, text} = await answer();
		res.writeHead(status, {'content-type': 'text/plain', 'content-length': new TextEncoder().encode(text).length});
		res.end(text);
	});
	return server.listen(port, ip);
};
