/**
Identifies a call by its content, so that a request that crashes upstreams is
recognised under another request id.
*/
import {createHash} from 'node:crypto';
import type {CallRequest} from './call-request.js';

/** Returns the hex SHA-256 of target and input. */
export const fingerprintCall = ({target, input}: CallRequest): string =>
	createHash('sha256').update(JSON.stringify([target, input ?? null])).digest('hex');
