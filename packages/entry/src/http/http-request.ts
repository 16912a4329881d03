/**
One HTTP request on its way to its handler.
*/
import type {IncomingMessage, ServerResponse} from 'node:http';

/** A request whose path has been matched. */
export type HttpRequest = {
	readonly req: IncomingMessage;
	readonly res: ServerResponse;
	readonly url: URL;
	/** The parts of the path that the route left open, decoded. */
	readonly params: readonly string[];
	/** Workspace that the caller names; empty for an operator. */
	readonly workspace: string;
	/** Operator that the request names; empty for a caller. */
	readonly operator: string;
	readonly traceparent: string;
};
