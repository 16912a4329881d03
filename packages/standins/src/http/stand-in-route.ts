/**
One route of a stand-in's HTTP server.
*/
import type {IncomingMessage, ServerResponse} from 'node:http';

/** Arguments of a handler; `params` are the decoded capture groups of the pattern. */
type RouteContext = {
	readonly req: IncomingMessage;
	readonly res: ServerResponse;
	readonly params: readonly string[];
	readonly url: URL;
};

/** A handler for requests of a method whose path matches the anchored pattern. */
export type StandInRoute = {
	readonly method: string;
	readonly pattern: RegExp;
	readonly handle: (context: RouteContext) => void | Promise<void>;
};
