import {mkdtempSync, readdirSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {expect, test} from 'vitest';
import {openLogWriter} from '../log/open-log-writer.js';

test('appends made while an fsync is under way share the next one', async () => {
	const folder = mkdtempSync(path.join(tmpdir(), 'log-'));
	const writer = openLogWriter({
		folder, firstSegment: 1, segmentBytes: 1000, encodeSegmentHeader: () => [],
	});
	const line = new TextEncoder().encode(`${'x'.repeat(99)}\n`);
	const appends = Array.from({length: 1000}, () => writer.append(line));
	const results = await Promise.all(appends.map(async ({done}) => done));
	expect(results.every(result => result.isOk())).toBe(true);
	expect(writer.syncs()).toBeLessThanOrEqual(2);
	expect(readdirSync(folder)).toHaveLength(100);
	await writer.close();
});

test('after a failed write every later append fails', async () => {
	const writer = openLogWriter({
		folder: '/nonexistent', firstSegment: 1, segmentBytes: 1000, encodeSegmentHeader: () => [],
	});
	const line = new TextEncoder().encode('x\n');
	const first = await writer.append(line).done;
	const second = await writer.append(line).done;
	expect([first.isErr(), second.isErr()]).toEqual([true, true]);
	await writer.close();
});
