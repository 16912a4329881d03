/**
Refuses a request whose fencing number is lower than the highest seen.
*/
import type {ServerResponse} from 'node:http';
import {sendJson} from '../http/send-json.js';

/** Responds with status 409 and the error code `fenced`. */
export const sendFenced = (res: ServerResponse): void => {
	sendJson(res, 409, {error: {code: 'fenced', message: 'a higher fencing number was seen'}});
};
