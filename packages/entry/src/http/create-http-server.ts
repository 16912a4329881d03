/**
The HTTP server for callers and operators: matches requests to routes and checks
the headers that identify the sender.
*/
import {once} from 'node:events';
import {createServer, type IncomingMessage, type ServerResponse} from 'node:http';
import type {Logger} from '@siskinhub/observe/logger.js';
import type {HttpRoute} from './http-route.js';
import {sendRefusal} from './send-refusal.js';

const WORKSPACE_HEADER = 'siskinhub-workspace';
const OPERATOR_HEADER = 'siskinhub-operator';

type HttpServer = {
	/** The address that the server listens on, as `http://IP:PORT`. */
	readonly address: string;
	/** Stops accepting connections and resolves once the open requests have ended. */
	readonly close: () => Promise<void>;
	readonly openRequests: () => number;
};

type ServerOptions = {
	readonly ip: string;
	readonly port: number;
	readonly routes: readonly HttpRoute[];
	readonly log: Logger;
};

const readHeader = (req: IncomingMessage, name: string): string => {
	const value = req.headers[name];
	return typeof value === 'string' ? value : '';
};

const decodeParams = (match: RegExpExecArray): string[] | undefined => {
	try {
		return match.slice(1).map(part => decodeURIComponent(part));
	} catch {
		return undefined;
	}
};

const describeMissingHeader = (route: HttpRoute, workspace: string, operator: string): string | undefined => {
	if (route.audience === 'caller' && workspace === '') {
		return `The header ${WORKSPACE_HEADER} is missing; name the caller's workspace.`;
	}

	if (route.audience === 'operator' && operator === '') {
		return `The header ${OPERATOR_HEADER} is missing; name the operator.`;
	}

	return route.audience === 'both' && workspace === '' && operator === ''
		? `Name the caller's workspace in ${WORKSPACE_HEADER}, or the operator in ${OPERATOR_HEADER}.`
		: undefined;
};

/** Starts listening; rejects only if the address cannot be bound. */
export const createHttpServer = async ({ip, port, routes, log}: ServerOptions): Promise<HttpServer> => {
	let openRequests = 0;
	let isClosing = false;
	let resolveIdle = () => {/* Replaced by the promise below. */};
	const idle = new Promise<void>(resolve => {
		resolveIdle = resolve;
	});

	const handle = async (req: IncomingMessage, res: ServerResponse) => {
		const url = new URL(req.url ?? '/', 'http://entry');
		const matching = routes.filter(route => route.pattern.test(url.pathname));
		const route = matching.find(candidate => candidate.method === req.method);
		const match = route?.pattern.exec(url.pathname);
		if (!route || !match) {
			sendRefusal(res, {code: 'bad-request', message: `There is no ${req.method} ${url.pathname}; docs/guide/http-api.md lists the requests.`});
			return;
		}

		const params = decodeParams(match);
		const workspace = readHeader(req, WORKSPACE_HEADER);
		const operator = readHeader(req, OPERATOR_HEADER);
		const fault = params ? describeMissingHeader(route, workspace, operator) : 'The path is not properly encoded.';
		if (!params || fault !== undefined) {
			sendRefusal(res, {code: 'bad-request', message: fault ?? ''});
			return;
		}

		// An operator may see every program, so their requests carry no workspace; only callers make calls.
		const canSeeAllWorkspaces = operator !== '' && route.audience !== 'caller';
		await route.handle({
			req, res, url, params, workspace: canSeeAllWorkspaces ? '' : workspace, operator, traceparent: readHeader(req, 'traceparent'),
		});
	};

	const server = createServer(async (req, res) => {
		openRequests++;
		try {
			await handle(req, res);
		} catch (error) {
			log.error('failed to handle an HTTP request', {path: req.url, error: String(error)});
			if (res.headersSent) {
				res.destroy();
			} else {
				sendRefusal(res, {code: 'unavailable', message: 'The entry failed; send the same request again.', retryAfterMs: 1000});
			}
		} finally {
			openRequests--;
			if (openRequests === 0 && isClosing) {
				resolveIdle();
			}
		}
	});
	server.listen(port, ip);
	await once(server, 'listening');
	const address = server.address();
	const boundPort = typeof address === 'object' && address ? address.port : port;

	return {
		address: `http://${ip}:${boundPort}`,
		async close() {
			isClosing = true;
			if (openRequests === 0) {
				resolveIdle();
			}

			server.close();
			server.closeIdleConnections();
			await idle;
			server.closeAllConnections();
		},
		openRequests: () => openRequests,
	};
};
