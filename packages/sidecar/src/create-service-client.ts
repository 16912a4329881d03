/**
HTTP client of a plain service, which answers one JSON request with one JSON
response and keeps no prefixes.
*/
import {Agent, request} from 'undici';
import {isConnectFailure} from './is-connect-failure.js';
import {probeHttp} from './probe-http.js';
import type {UpstreamClient} from './upstream-client.js';

const CONNECT_TIMEOUT_MS = 3000;
const RESPONSE_TIMEOUT_MS = 60_000;
const HTTP_OK = 200;

/** Creates the client of the plain service at `address`, given as `http://IP:PORT`. */
export const createServiceClient = (address: string): UpstreamClient => {
	const dispatcher = new Agent({connect: {timeout: CONNECT_TIMEOUT_MS}, headersTimeout: RESPONSE_TIMEOUT_MS, bodyTimeout: RESPONSE_TIMEOUT_MS});
	return {
		async run(call, onText, signal) {
			try {
				const res = await request(`${address}/${encodeURIComponent(call.operation)}`, {
					method: 'POST',
					dispatcher,
					signal,
					headers: {
						'content-type': 'application/json',
						'x-request-id': call.runId,
						'x-fencing-number': String(call.fencingNumber),
						...(call.traceparent && {traceparent: call.traceparent}),
					},
					body: call.payload,
				});
				const text = await res.body.text();
				if (res.statusCode !== HTTP_OK) {
					return {kind: 'lost', reason: `the service answered ${res.statusCode}: ${text.slice(0, 200)}`, isCrash: false};
				}

				onText(text);
				return {
					kind: 'finished', promptTokens: 0, outputTokens: 0, finish: 'stop',
				};
			} catch (error) {
				if (signal.aborted) {
					return {kind: 'cancelled'};
				}

				return isConnectFailure(error)
					? {kind: 'not-sent', reason: String(error)}
					: {kind: 'lost', reason: String(error), isCrash: true};
			}
		},
		probe: async () => probeHttp(`${address}/`, dispatcher),
		releasePrefix: async () => true,
		listPrefixes: async () => [],
	};
};
