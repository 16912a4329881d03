import {once} from 'node:events';
import type {AddressInfo} from 'node:net';
import {afterEach, expect, test} from 'vitest';
import {createServiceServer} from '../create-service-server.js';

const service = createServiceServer();
afterEach(service.close);

test('an effect is recorded even when its response is lost', async () => {
	service.server.listen(0, '127.0.0.1');
	await once(service.server, 'listening');
	const base = `http://127.0.0.1:${(service.server.address() as AddressInfo).port}`;
	const book = async (requestId: string) => {
		const res = await fetch(`${base}/book`, {
			method: 'POST', headers: {'x-request-id': requestId}, body: '{"slot": "[[mark=b1]]"}',
		});
		return res.json();
	};

	expect(await book('r1')).toMatchObject({operation: 'book', requestId: 'r1'});
	await fetch(`${base}/faults`, {method: 'PUT', body: '{"loseAnswers": 1}'});
	await expect(book('r2')).rejects.toThrow();
	const res = await fetch(`${base}/records`);
	expect(await res.json()).toMatchObject([{requestId: 'r1', mark: 'b1'}, {requestId: 'r2', mark: 'b1'}]);
});
