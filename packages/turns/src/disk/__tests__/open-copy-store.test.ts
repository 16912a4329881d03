import {Buffer} from 'node:buffer';
import {
	appendFile, mkdtemp, readdir, rm, truncate, writeFile, readFile,
} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {
	afterEach, beforeEach, describe, expect, it,
} from 'vitest';
import type {GroupId} from '../../membership/group-id.js';
import type {CopyStore} from '../copy-store.js';
import {openCopyStore} from '../open-copy-store.js';

const GROUP = 7 as GroupId;
const FAR_EXPIRY_MS = Date.now() + 3_600_000;

const turn = (id: string, previous = '') => ({
	case: 'turn' as const, value: {
		id, previous, input: new TextEncoder().encode(`in ${id}`), output: new TextEncoder().encode(`out ${id}`), expiresAtMs: FAR_EXPIRY_MS,
	},
});
const use = (attempt: string, tokens: number, settled: boolean) => ({case: 'use' as const, value: {program: 'p', use: {attempt, tokens, settled}, expiresAtMs: FAR_EXPIRY_MS}});

describe('openCopyStore', () => {
	let folder: string;
	beforeEach(async () => {
		folder = await mkdtemp(path.join(tmpdir(), 'copies-'));
	});
	afterEach(async () => {
		await rm(folder, {recursive: true});
	});

	const open = async (): Promise<CopyStore> => {
		const opened = await openCopyStore(folder);
		return opened._unsafeUnwrap();
	};

	const listLogs = async () => {
		const names = await readdir(folder);
		return names.filter(name => name.endsWith('.log')).map(name => path.join(folder, name));
	};

	it('has the same disk id and the same records after a restart', async () => {
		const first = await open();
		expect(first.isNew).toBe(true);
		await Promise.all([first.add(GROUP, turn('t1')), first.add(GROUP, turn('t2', 't1')), first.add(GROUP, use('t1', 90, false)), first.add(GROUP, use('t1', 40, true))]);
		await first.close();
		const second = await open();
		expect(second.isNew).toBe(false);
		expect(second.diskId).toBe(first.diskId);
		expect(second.getIndex(GROUP).findTurn('t2')?.previous).toBe('t1');
		expect(second.getIndex(GROUP).listUses('p')).toMatchObject([{attempt: 't1', tokens: 40, settled: true}]);
		await second.close();
	});

	it('keeps what was stored if the process is killed without closing the store', async () => {
		const first = await open();
		await first.add(GROUP, turn('t1'));
		const second = await open();
		expect(second.getIndex(GROUP).findTurn('t1')).toBeDefined();
		await second.close();
		await first.close();
	});

	it('skips a torn line at the end', async () => {
		const first = await open();
		await first.add(GROUP, turn('t1'));
		await first.add(GROUP, turn('t2'));
		await first.close();
		const [log] = await listLogs();
		const {length} = await readFile(log!);
		await truncate(log!, length - 10);
		const second = await open();
		expect(second.getIndex(GROUP).findTurn('t1')).toBeDefined();
		expect(second.getIndex(GROUP).findTurn('t2')).toBeUndefined();
		await second.close();
	});

	it('skips a torn line in the middle and reads the lines after it', async () => {
		const first = await open();
		await first.add(GROUP, turn('t1'));
		await first.close();
		const [log] = await listLogs();
		const bytes = await readFile(log!);
		await writeFile(log!, Buffer.concat([bytes.subarray(0, 40), Buffer.from('\n'), bytes]));
		await appendFile(log!, 'half a li');
		const second = await open();
		expect(second.getIndex(GROUP).findTurn('t1')).toBeDefined();
		await second.close();
	});

	it('treats a folder with an empty id file as a new disk', async () => {
		await writeFile(path.join(folder, 'disk-id'), '');
		const store = await open();
		expect(store.isNew).toBe(true);
		expect(store.diskId).not.toBe('');
		await store.close();
	});

	it('keeps a chain as long as its newest turn and drops expired turns at a restart', async () => {
		const first = await open();
		await first.add(GROUP, {case: 'turn', value: {...turn('old').value, expiresAtMs: Date.now() + 10}});
		await first.add(GROUP, {case: 'turn', value: {...turn('alone').value, expiresAtMs: Date.now() + 10}});
		await first.add(GROUP, turn('new', 'old'));
		await first.close();
		await new Promise(resolve => {
			setTimeout(resolve, 30);
		});
		const second = await open();
		expect(second.getIndex(GROUP).findTurn('old')).toBeDefined();
		expect(second.getIndex(GROUP).findTurn('alone')).toBeUndefined();
		await second.close();
	});

	it('compacts away what is past its retention and keeps records added during compaction', async () => {
		const first = await open();
		await first.add(GROUP, {case: 'turn', value: {...turn('gone').value, expiresAtMs: Date.now() - 1}});
		await first.add(GROUP, turn('kept'));
		const before = first.bytes();
		const [compacted, added] = await Promise.all([first.compact(), first.add(GROUP, turn('meanwhile'))]);
		expect([compacted.isOk(), added.isOk()]).toEqual([true, true]);
		await first.add(GROUP, turn('after'));
		expect(first.bytes()).toBeLessThan(before * 2);
		await first.close();
		const second = await open();
		expect(['gone', 'kept', 'meanwhile', 'after'].map(id => second.getIndex(GROUP).findTurn(id) !== undefined)).toEqual([false, true, true, true]);
		await second.close();
	});

	// Guards against review case 5: a compaction encoded and queued all records at once, which took several times the size of the log.
	it('compacts in parts of about a mebibyte, each on the disk before the next is encoded', async () => {
		const first = await open();
		const input = new Uint8Array(256 * 1024);
		const ids = Array.from({length: 40}, (_, index) => `t${index}`);
		await Promise.all(ids.map(async id => first.add(GROUP, {case: 'turn', value: {...turn(id).value, input}})));
		await first.close();
		const second = await open();
		const compacted = await second.compact();
		expect(compacted.isOk()).toBe(true);
		expect(second.syncs()).toBeGreaterThanOrEqual(10);
		await second.close();
		const third = await open();
		expect(ids.filter(id => third.getIndex(GROUP).findTurn(id)?.input.length !== input.length)).toEqual([]);
		await third.close();
	});

	it('keeps the records of different groups apart, also after a restart', async () => {
		const first = await open();
		await first.add(GROUP, turn('t1'));
		await first.add(8 as GroupId, use('a', 5, true));
		await first.close();
		const second = await open();
		expect([second.getIndex(GROUP).size(), second.getIndex(8 as GroupId).size(), second.size()]).toEqual([1, 1, 2]);
		expect(second.getIndex(8 as GroupId).findTurn('t1')).toBeUndefined();
		await second.close();
	});

	it('syncs records that are added at the same time together', async () => {
		const store = await open();
		const before = store.syncs();
		await Promise.all(Array.from({length: 50}, async (_, index) => store.add(GROUP, turn(`t${index}`))));
		expect(store.syncs() - before).toBeLessThanOrEqual(2);
		await store.close();
	});
});
