import {once} from 'node:events';
import {connect, createServer, type AddressInfo} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {allocatePorts} from '@siskinhub/standins/cluster/allocate-ports.js';
import {expect, test} from 'vitest';
import {createTcpCutter} from '../create-tcp-cutter.js';

test('an open connection goes silent without closing, and a new one works', async () => {
	const echo = createServer(socket => socket.pipe(socket)).listen(0, '127.0.0.1');
	await once(echo, 'listening');
	const [relayPort] = await allocatePorts(1);
	const cutter = await createTcpCutter(relayPort!, (echo.address() as AddressInfo).port);
	const old = connect(cutter.port, '127.0.0.1').setEncoding('utf8');
	const received: string[] = [];
	old.on('data', (text: string) => received.push(text));
	old.write('a');
	await once(old, 'data');

	expect(cutter.silence()).toBe(1);
	old.write('b');
	const fresh = connect(cutter.port, '127.0.0.1').setEncoding('utf8');
	fresh.write('c');
	expect(await once(fresh, 'data')).toEqual(['c']);
	await sleep(50);
	expect(received).toEqual(['a']);
	expect(old.destroyed).toBe(false);
	cutter.refuse();
	await expect(once(connect(cutter.port, '127.0.0.1'), 'connect')).rejects.toMatchObject({code: 'ECONNREFUSED'});
	cutter.accept();
	const again = connect(cutter.port, '127.0.0.1');
	await once(again, 'connect');
	again.destroy();
	cutter.close();
	old.destroy();
	fresh.destroy();
	echo.close();
});
