/**
An HTTP request whose path has matched a route.
*/
import type {IncomingMessage, ServerResponse} from 'node:http';

export type HttpRequest = {
	readonly req: IncomingMessage;
	readonly res: ServerResponse;
	readonly url: URL;
	/** The captured parts of the path, decoded. */
	readonly params: readonly string[];
	/** The workspace that the caller named; empty for an operator. */
	readonly workspace: string;
	/** The operator that the request named; empty for a caller. */
	readonly operator: string;
	readonly traceparent: string;
};
