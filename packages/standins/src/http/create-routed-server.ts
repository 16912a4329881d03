/**
An HTTP server that picks the first route whose method and path match.
*/
import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import type {Route} from './route.js';
import {sendJson} from './send-json.js';

const LOCAL_ORIGIN = 'http://localhost';

const dispatch = async (routes: readonly Route[], req: IncomingMessage, res: ServerResponse): Promise<void> => {
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

/** Returns a server that is not listening yet. A handler that throws cuts its connection. */
export const createRoutedServer = (routes: readonly Route[]): Server => createServer(async (req, res) => {
	try {
		await dispatch(routes, req, res);
	} catch {
		res.destroy();
	}
});
