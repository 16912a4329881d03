import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {get, type IncomingMessage} from 'node:http';
import path from 'node:path';
import process from 'node:process';
import {expect, it} from 'vitest';

const FIXTURE = path.join(import.meta.dirname, 'serve-endless-answer.ts');

// Guards against review case 2: the kernel of a killed process ends its connections in order, which is how an answer without a length and without chunks ends.
it('does not let an answer without a length look whole when its process is killed', async () => {
	const server = spawn(process.execPath, ['--import', 'tsx', FIXTURE], {stdio: ['ignore', 'pipe', 'inherit']});
	try {
		const [port] = await once(server.stdout, 'data') as [Uint8Array];
		const req = get(`http://127.0.0.1:${String(port).trim()}/`);
		const [res] = await once(req, 'response') as [IncomingMessage];
		const [event] = await once(res, 'data') as [Uint8Array];
		expect(String(event)).toBe('id: 1\ndata: one\n\n');
		const failed = once(res, 'error');
		server.kill('SIGKILL');
		await failed;
		expect(res.complete).toBe(false);
	} finally {
		server.kill('SIGKILL');
	}
});
