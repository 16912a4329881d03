/**
Checks whether an upstream responds to HTTP requests.
*/
import {judgeStatus} from '@siskinhub/core/http/judge-status.js';
import {type Dispatcher, request} from 'undici';

const PROBE_TIMEOUT_MS = 1000;

/** Returns true for a response with any status that HTTP has. Never rejects. */
export const probeHttp = async (url: string, dispatcher: Dispatcher): Promise<boolean> => {
	try {
		const res = await request(url, {dispatcher, headersTimeout: PROBE_TIMEOUT_MS, bodyTimeout: PROBE_TIMEOUT_MS});
		await res.body.dump();
		return judgeStatus(res.statusCode) === 'final';
	} catch {
		return false;
	}
};
