/**
One route of the HTTP interface.
*/
import type {HttpRequest} from './http-request.js';

/** A method, a path pattern and its handler, which ends the response. */
export type HttpRoute = {
	readonly method: 'GET' | 'POST' | 'DELETE';
	readonly pattern: RegExp;
	/** Who may call it. */
	readonly audience: 'caller' | 'operator' | 'both';
	readonly handle: (request: HttpRequest) => Promise<void>;
};
