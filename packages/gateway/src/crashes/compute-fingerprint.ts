/**
Computes the fingerprint of a request, which all attempts of it share.
*/
import {createHash} from 'node:crypto';
import type {CallHead} from '../call/call-head.js';

/** Equal requests of one program have the same fingerprint. `body` is the body sent to the upstream. */
export const computeFingerprint = ({method, host, path, program}: CallHead, body: Uint8Array): string =>
	createHash('sha1').update([method, host, path, program?.id ?? ''].join('\n')).update(body).digest('base64');
