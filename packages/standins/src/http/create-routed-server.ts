/**
HTTP server of the stand-ins, which calls the first route whose method and path
match a request.
*/
import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import type {StandInRoute} from './stand-in-route.js';
import {sendJson} from './send-json.js';

/** Base for parsing request URLs, of which only path and query are used. */
const LOCAL_ORIGIN = 'http://localhost';

const dispatch = async (routes: readonly StandInRoute[], req: IncomingMessage, res: ServerResponse): Promise<void> => {
	const url = new URL(req.url ?? '/', LOCAL_ORIGIN);
	for (const route of routes) {
		const match = route.method === req.method ? route.pattern.exec(url.pathname) : null;
		if (match) {
			const params = match.slice(1).map(param => decodeURIComponent(param));
			await route.handle({
				req, res, params, url,
			});
			return;
		}
	}

	sendJson(res, 404, {error: {message: `no route ${req.method ?? ''} ${url.pathname}`}});
};

/** Returns a server that is not listening yet. The connection is closed without a response if a handler throws. */
export const createRoutedServer = (routes: readonly StandInRoute[]): Server => createServer(async (req, res) => {
	try {
		await dispatch(routes, req, res);
	} catch {
		res.destroy();
	}
});
