/**
Names a call by its content, so that a request which crashes upstreams is known
again under another id.
*/
import {createHash} from 'node:crypto';
import type {CallRequest} from './call-request.js';

/** Hex SHA-256 over target and input. */
export const fingerprintCall = ({target, input}: CallRequest): string =>
	createHash('sha256').update(JSON.stringify([target, input ?? null])).digest('hex');
