/**
Reads the fencing number of a request to a stand-in engine.
*/
import type {IncomingMessage} from 'node:http';

/** Returns the number in `x-fencing-number`, or `undefined` without one. */
export const readFencingNumber = (req: IncomingMessage): number | undefined => {
	const value = Number.parseInt(String(req.headers['x-fencing-number']), 10);
	return Number.isNaN(value) ? undefined : value;
};
