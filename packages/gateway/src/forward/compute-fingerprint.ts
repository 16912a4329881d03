/**
Tells attempts of one request of a caller from other requests.
*/
import {createHash} from 'node:crypto';
import type {CallHead} from '../call/call-head.js';

/** The same for the same bytes of the same program. `body` is what an upstream receives. */
export const computeFingerprint = ({method, host, path, program}: CallHead, body: Uint8Array): string =>
	createHash('sha1').update([method, host, path, program?.id ?? ''].join('\n')).update(body).digest('base64');
