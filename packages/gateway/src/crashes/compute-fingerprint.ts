/**
Computes the fingerprint of a request: the same for all that give an upstream the
same to do, whichever program, caller's attempt or process they come from.
*/
import {createHash} from 'node:crypto';
import type {CallHead} from '../call/call-head.js';
import {scopeId} from '../workspaces/scope-id.js';

/** 90 bits; a collision would only refuse a request that is sound. */
const FINGERPRINT_LENGTH = 15;

/** `body` is the body sent to the upstream. Without one, many callers send the same request, so the program tells them apart, and the workspace programs of the same id. */
export const computeFingerprint = ({method, host, path, program}: Pick<CallHead, 'method' | 'host' | 'path' | 'program'>, body: Uint8Array, workspace?: string): string => {
	const caller = body.length > 0 ? '' : scopeId(workspace, program?.id ?? '');
	return createHash('sha1').update([method, host, path, caller].join('\n')).update(body).digest('base64').slice(0, FINGERPRINT_LENGTH);
};
