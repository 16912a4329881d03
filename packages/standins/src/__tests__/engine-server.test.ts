import {once} from 'node:events';
import {mkdtempSync} from 'node:fs';
import type {AddressInfo} from 'node:net';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {afterEach, expect, test} from 'vitest';
import {createEngineServer} from '../create-engine-server.js';
import {generateTokens} from '../engine/generate-tokens.js';

const closeCallbacks: Array<() => void> = [];
afterEach(() => {
	for (const close of closeCallbacks.splice(0)) {
		close();
	}
});

const start = async (options: Parameters<typeof createEngineServer>[0] = {}) => {
	const engine = createEngineServer({tokenDelayMs: 1, ...options});
	closeCallbacks.push(engine.close);
	engine.server.listen(0, '127.0.0.1');
	await once(engine.server, 'listening');
	return {...engine, base: `http://127.0.0.1:${(engine.server.address() as AddressInfo).port}`};
};

const complete = async (base: string, requestId: string, content: string, extra: {headers?: Record<string, string>; body?: Record<string, unknown>} = {}) => fetch(`${base}/v1/chat/completions`, {
	method: 'POST',
	headers: {'x-request-id': requestId, 'x-cache-group': 'p1-a', ...extra.headers},
	body: JSON.stringify({
		model: 'modelos-trenza', stream: true, messages: [{role: 'user', content}], ...extra.body,
	}),
});

const readText = async (pending: Promise<Response>): Promise<string> => {
	const res = await pending;
	return res.text();
};

const readAnswer = (sse: string): string => sse
	.split('\n\n')
	.filter(event => event.startsWith('data: {'))
	.map(event => (JSON.parse(event.slice('data: '.length)) as {choices: Array<{delta: {content?: string}}>}).choices[0]?.delta.content ?? '')
	.join('');

test('the answer can be computed from the record and has the length that the prompt asks for', async () => {
	const {base, records} = await start();
	const answer = readAnswer(await readText(complete(base, 'r1', '[[tokens=40]] [[mark=m1]]')));
	const [record] = records();
	expect(record).toMatchObject({
		requestId: 'r1', group: 'p1-a', mark: 'm1', outputTokens: 40, fate: 'stop',
	});
	expect(answer).toBe(generateTokens(record!.promptSha256, 40).join(''));
});

test('with variesAnswers the answers of two runs differ, and each can be computed from its record', async () => {
	const {base, records} = await start({variesAnswers: true});
	const first = readAnswer(await readText(complete(base, 'r1', '[[tokens=40]]')));
	const second = readAnswer(await readText(complete(base, 'r2', '[[tokens=40]]')));
	expect(second).not.toBe(first);
	expect(records().map(({answerKey}) => generateTokens(answerKey, 40).join(''))).toEqual([first, second]);
});

test('max_tokens limits the answer unless the prompt contains [[overrun]]', async () => {
	const {base, records} = await start();
	await readText(complete(base, 'r1', '[[tokens=40]]', {body: {max_tokens: 7}}));
	await readText(complete(base, 'r2', '[[tokens=40]] [[overrun]]', {body: {max_tokens: 7}}));
	expect(records().map(({outputTokens, fate}) => [outputTokens, fate])).toEqual([[7, 'length'], [40, 'stop']]);
});

test('a cut stream resumes at any byte offset except inside a character', async () => {
	const {base, records} = await start();
	await fetch(`${base}/faults`, {method: 'PUT', body: '{"cutStreamAt": 20}'});
	const cut = await complete(base, 'r1', '[[tokens=60]]');
	await expect(cut.text()).rejects.toThrow();
	const whole = readAnswer(await readText(fetch(`${base}/streams/r1?from=0`)));
	expect(whole).toBe(generateTokens(records()[0]!.promptSha256, 60).join(''));
	const bytes = new TextEncoder().encode(whole);
	for (const [from, byte] of bytes.entries()) {
		const res = await fetch(`${base}/streams/r1?from=${from}`);
		const isInside = byte >= 0x80 && byte < 0xC0;
		expect(res.status).toBe(isInside ? 416 : 200);
		const rest = await res.text();
		if (!isInside) {
			expect(readAnswer(rest)).toBe(new TextDecoder().decode(bytes.subarray(from)));
		}
	}
});

test('a cancelled run stops and is recorded as cancelled', async () => {
	const {base, records} = await start({tokenDelayMs: 5});
	const res = await complete(base, 'r1', '[[tokens=5000]]');
	const cancelled = await fetch(`${base}/streams/r1`, {method: 'DELETE'});
	expect(await cancelled.json()).toMatchObject({cancelled: true});
	expect(await res.text()).toContain('"finish_reason":"cancelled"');
	expect(records()[0]).toMatchObject({fate: 'cancelled'});
});

test('the cache holds the most recent groups that fit and releases a group on DELETE', async () => {
	const {base} = await start({cacheTokens: 200});
	for (const group of ['p1-a', 'p1-b', 'p1-c']) {
		await readText(complete(base, group, '[[tokens=80]]', {headers: {'x-cache-group': group}}));
	}

	const listCachedGroups = async () => {
		const {groups} = JSON.parse(await readText(fetch(`${base}/cache`))) as {groups: Array<{group: string}>};
		return groups.map(({group}) => group);
	};

	expect(await listCachedGroups()).toEqual(['p1-b', 'p1-c']);
	await fetch(`${base}/cache/p1-c`, {method: 'DELETE'});
	expect(await listCachedGroups()).toEqual(['p1-b']);
});

test.each([[true, 409], [false, 200]])('with checksFencing %s a lower fencing number gets status %i', async (checksFencing, status) => {
	const {base, records} = await start({checksFencing});
	await readText(complete(base, 'r1', 'a', {headers: {'x-fencing-number': '5'}}));
	const late = await complete(base, 'r2', 'b', {headers: {'x-fencing-number': '4'}});
	expect(late.status).toBe(status);
	await late.text();
	expect(records()).toHaveLength(checksFencing ? 1 : 2);
});

test('the record of a run survives a crash in the file and has the fate lost', async () => {
	const recordsFile = path.join(mkdtempSync(path.join(tmpdir(), 'engine-')), 'records.jsonl');
	const first = await start({recordsFile, crashOn: 'boom'});
	const res = await complete(first.base, 'r1', 'boom');
	await expect(res.text()).rejects.toThrow();
	const second = await start({recordsFile});
	expect(second.records()).toMatchObject([{requestId: 'r1', fate: 'lost'}]);
});
