/**
Refuses an order whose fencing number is lower than one seen before.
*/
import type {ServerResponse} from 'node:http';
import {sendJson} from '../http/send-json.js';

/** Answers 409 with code `fenced`. */
export const sendFenced = (res: ServerResponse): void => {
	sendJson(res, 409, {error: {code: 'fenced', message: 'a higher fencing number was seen'}});
};
