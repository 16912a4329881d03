import {once} from 'node:events';
import {mkdtemp, readdir, rm} from 'node:fs/promises';
import {createServer, type AddressInfo} from 'node:net';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {expect, it, vi} from 'vitest';
import type {HostConfig} from '../host-config.js';
import {startHolder} from '../start-holder.js';

const IP = '127.0.0.1';
const WAIT_MS = 100;

// Guards against two processes that write to one data folder: a holder that waits for its address must not open the folder that the process before still uses.
it('does not open the data folder while the process before holds its address', async () => {
	const dataFolder = await mkdtemp(path.join(tmpdir(), 'holder-'));
	const holder = createServer().listen(0, IP);
	await once(holder, 'listening');
	const {port} = holder.address() as AddressInfo;
	const log = {info: vi.fn<() => void>(), warn: vi.fn<() => void>(), error: vi.fn<() => void>()};
	const cfg: Partial<HostConfig> = {
		peers: {ip: IP, port}, metrics: {ip: IP, port: 0}, dataFolder, stopWithinMs: WAIT_MS,
	};
	const parts: Record<string, unknown> = {
		keys: {}, store: {}, metrics: {addLimits() {/* There are none. */}}, log,
	};
	await expect(startHolder(cfg as HostConfig, parts as Parameters<typeof startHolder>[1])).rejects.toThrow(`${IP}:${port}`);
	expect(await readdir(dataFolder)).toEqual([]);
	expect(log.warn).toHaveBeenCalledOnce();
	holder.close();
	await rm(dataFolder, {recursive: true});
});
