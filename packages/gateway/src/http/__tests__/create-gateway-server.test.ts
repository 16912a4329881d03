/**
Load: one request in a thousand meets an error that nobody expected, while others
are under way.
*/
import {ok} from 'neverthrow';
import {request} from 'undici';
import {expect, it} from 'vitest';
import type {CallCodec} from '../../call/call-codec.js';
import {createGatewayServer} from '../create-gateway-server.js';

const IP = '127.0.0.1';
const PORT = 23_871;

const codec: Pick<CallCodec, 'decodeCall' | 'encodeRefusal'> = {
	decodeCall: ({url, method}) => ok({
		id: 'r1' as never, method: method!, path: url!, host: 'h', headers: [], deadlineMs: undefined, affinityKey: undefined, lastEventId: undefined,
	}),
	encodeRefusal: () => ({}),
};

it('ends one request after an unexpected error, promises nothing, and serves all others', async () => {
	const reasons: string[] = [];
	const server = await createGatewayServer({
		ip: IP,
		port: PORT,
		codec: codec as CallCodec,
		limits: () => undefined,
		shouldKeepConnections: () => true,
		onArrival: () => 0,
		isAdmitted: () => true,
		onRefused() {/* Nothing is refused. */},
		async onCall({path}, _body, response) {
			if (path === '/broken') {
				throw new Error('nobody expected this');
			}

			if (path === '/halfway') {
				response.start(200, []);
				response.write(new Uint8Array(10));
				throw new Error('nor this');
			}

			response.start(200, ['content-length', '0']);
			response.finish();
		},
		onFailed(reason) {
			reasons.push(reason);
		},
		onRejected() {/* Every request here is well formed. */},
	});
	const send = async (path: string): Promise<number> => {
		const res = await request(`http://${IP}:${PORT}${path}`);
		await res.body.dump();
		return res.statusCode;
	};

	expect(await send('/broken')).toBe(502);
	await expect(send('/halfway')).rejects.toThrow();
	expect(await send('/fine')).toBe(200);
	expect(reasons).toEqual(['nobody expected this', 'nor this']);
	expect(server.countActive()).toBe(0);
	server.stopListening();
});
