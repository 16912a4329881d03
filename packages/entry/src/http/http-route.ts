/**
A route of the HTTP interface.
*/
import type {HttpRequest} from './http-request.js';

/** `handle` ends the response. */
export type HttpRoute = {
	readonly method: 'GET' | 'POST' | 'DELETE';
	readonly pattern: RegExp;
	/** Who may send the request. */
	readonly audience: 'caller' | 'operator' | 'both';
	readonly handle: (request: HttpRequest) => Promise<void>;
};
