/**
Checks whether an upstream responds to HTTP requests.
*/
import {type Dispatcher, request} from 'undici';

const PROBE_TIMEOUT_MS = 1000;

/** Returns true for a response with any status. Never rejects. */
export const probeHttp = async (url: string, dispatcher: Dispatcher): Promise<boolean> => {
	try {
		const res = await request(url, {dispatcher, headersTimeout: PROBE_TIMEOUT_MS, bodyTimeout: PROBE_TIMEOUT_MS});
		await res.body.dump();
		return true;
	} catch {
		return false;
	}
};
