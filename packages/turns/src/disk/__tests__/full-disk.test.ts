/**
Load: turns keep coming while the disk has no room for some seconds. A folder in
the place of the next segment stands for the full disk.
*/
import {mkdir, mkdtemp, rm} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {setTimeout as delay} from 'node:timers/promises';
import {segmentFiles} from '@siskinhub/history/log/segment-files.js';
import {
	afterEach, beforeEach, expect, it,
} from 'vitest';
import type {GroupId} from '../../membership/group-id.js';
import {openCopyStore} from '../open-copy-store.js';

const GROUP = 1 as GroupId;
const RETRY_MS = 600;

let folder: string;
beforeEach(async () => {
	folder = await mkdtemp(path.join(tmpdir(), 'full-disk-'));
});
afterEach(async () => {
	await rm(folder, {recursive: true});
});

const turn = (id: string) => ({
	case: 'turn' as const, value: {
		id, previous: '', input: new Uint8Array(10), output: new Uint8Array(10), expiresAtMs: Date.now() + 3_600_000,
	},
});

const open = async () => {
	const opened = await openCopyStore(folder, {segmentBytes: 1});
	return opened._unsafeUnwrap();
};

it('refuses what the disk does not take, and takes writes again once there is room', async () => {
	const store = await open();
	const first = await store.add(GROUP, turn('t1'));
	expect(first.isOk()).toBe(true);
	await Promise.all([2, 3].map(async segment => mkdir(segmentFiles.getPath(folder, segment))));
	const results = [];
	for (let count = 0; count < 200; count++) {
		results.push(await store.add(GROUP, turn(`full-${count}`)));
	}

	expect(results.every(result => result.isErr())).toBe(true);
	// What is refused between two tries is not held in memory either.
	expect(store.size()).toBeLessThan(5);
	// The same record again is no proof that it is on the disk.
	const again = await store.add(GROUP, turn('full-0'));
	expect(again.isErr()).toBe(true);
	await delay(RETRY_MS);
	await store.add(GROUP, turn('still full'));
	await delay(RETRY_MS);
	const later = await store.add(GROUP, turn('t2'));
	expect(later.isOk()).toBe(true);
	const repeated = await store.add(GROUP, turn('full-0'));
	expect(repeated.isOk()).toBe(true);
	await store.close();
	await Promise.all([2, 3].map(async segment => rm(segmentFiles.getPath(folder, segment), {recursive: true})));
	const reopened = await open();
	for (const id of ['t1', 'full-0', 't2']) {
		expect(reopened.getIndex(GROUP).findTurn(id)).toBeDefined();
	}

	await reopened.close();
});
