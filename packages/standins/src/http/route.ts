/**
One route of a stand-in's HTTP server.
*/
import type {IncomingMessage, ServerResponse} from 'node:http';

/** What a handler is given: the decoded groups of the pattern and the parsed URL. */
type RouteContext = {
	readonly req: IncomingMessage;
	readonly res: ServerResponse;
	readonly params: readonly string[];
	readonly url: URL;
};

/** A method, an anchored pattern over the path, and the handler. */
export type Route = {
	readonly method: string;
	readonly pattern: RegExp;
	readonly handle: (context: RouteContext) => void | Promise<void>;
};
