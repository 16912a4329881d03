/**
Serves one small text over HTTP: readiness or metrics.
*/
import {createServer, type Server} from 'node:http';

type TextAnswer = {readonly status: number; readonly text: string};

/** Any path gives the same answer. */
export const serveText = ({ip, port}: {readonly ip: string; readonly port: number}, answer: () => TextAnswer | Promise<TextAnswer>): Server => {
	const server = createServer(async (req, res) => {
		req.resume();
		const {status, text} = await answer();
		res.writeHead(status, {'content-type': 'text/plain', 'content-length': new TextEncoder().encode(text).length});
		res.end(text);
	});
	return server.listen(port, ip);
};
