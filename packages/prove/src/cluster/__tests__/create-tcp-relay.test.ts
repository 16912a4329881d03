import {once} from 'node:events';
import {connect, createServer, type AddressInfo} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {allocatePorts} from '@siskinhub/standins/cluster/allocate-ports.js';
import {expect, test} from 'vitest';
import {createTcpRelay} from '../create-tcp-relay.js';

test('open connections go silent without closing, and new ones work', async () => {
	const echo = createServer(socket => socket.pipe(socket)).listen(0, '127.0.0.1');
	await once(echo, 'listening');
	const [relayPort] = await allocatePorts(1);
	const relay = await createTcpRelay(relayPort!, (echo.address() as AddressInfo).port);
	const old = connect(relay.port, '127.0.0.1').setEncoding('utf8');
	const received: string[] = [];
	old.on('data', (text: string) => received.push(text));
	old.write('a');
	await once(old, 'data');

	expect(relay.silence()).toBe(1);
	old.write('b');
	const fresh = connect(relay.port, '127.0.0.1').setEncoding('utf8');
	fresh.write('c');
	expect(await once(fresh, 'data')).toEqual(['c']);
	await sleep(50);
	expect(received).toEqual(['a']);
	expect(old.destroyed).toBe(false);
	relay.refuse();
	await expect(once(connect(relay.port, '127.0.0.1'), 'connect')).rejects.toMatchObject({code: 'ECONNREFUSED'});
	relay.accept();
	const again = connect(relay.port, '127.0.0.1');
	await once(again, 'connect');
	again.destroy();
	relay.close();
	old.destroy();
	fresh.destroy();
	echo.close();
});
