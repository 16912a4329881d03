/**
Reads the fencing number of a request to an engine stand-in.
*/
import type {IncomingMessage} from 'node:http';

/** Returns the number in the header `x-fencing-number`, or `undefined` without one. */
export const readFencingNumber = (req: IncomingMessage): number | undefined => {
	const value = Number.parseInt(String(req.headers['x-fencing-number']), 10);
	return Number.isNaN(value) ? undefined : value;
};
