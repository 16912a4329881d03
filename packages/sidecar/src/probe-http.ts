/**
Asks an upstream whether it is there.
*/
import {type Dispatcher, request} from 'undici';

const PROBE_TIMEOUT_MS = 1000;

/** True if anything answers, whatever the status. Never rejects. */
export const probeHttp = async (url: string, dispatcher: Dispatcher): Promise<boolean> => {
	try {
		const res = await request(url, {dispatcher, headersTimeout: PROBE_TIMEOUT_MS, bodyTimeout: PROBE_TIMEOUT_MS});
		await res.body.dump();
		return true;
	} catch {
		return false;
	}
};
