import {Buffer} from 'node:buffer';
import type {EventSourceMessage} from 'eventsource-parser';
import {describe, expect, it} from 'vitest';
import {createAnswerMemory} from '../create-answer-memory.js';
import {createStreamForwarder} from '../create-stream-forwarder.js';

const KIBIBYTE = 1024;
const MEBIBYTE = 1024 * KIBIBYTE;

const start = () => {
	const memory = createAnswerMemory();
	const written: Uint8Array[] = [];
	const rejections: string[] = [];
	const excesses: string[] = [];
	const progress = {lastEventId: undefined as string | undefined, events: 0, firstEventAt: undefined};
	const forwarder = createStreamForwarder({
		progress,
		holding: memory.open(),
		recordEvents: (_events: readonly EventSourceMessage[]) => undefined,
		startResponse() {/* The head is not checked. */},
		confirmFirstEvent: () => true,
		write(bytes) {
			written.push(bytes);
		},
		pause() {/* Nothing waits. */},
		resume() {/* Nothing waits. */},
		onRejected(message) {
			rejections.push(message);
		},
		onExcess(kind) {
			excesses.push(kind);
		},
	});
	return {
		memory, written, rejections, excesses, progress, forwarder,
	};
};

// Guards against comments without end, which brought no event and were parsed for as long as the caller waited.
describe('comments', () => {
	it('without end are no stream', () => {
		const {forwarder, rejections, excesses} = start();
		forwarder.receive(Buffer.from('data: first\n\n'));
		for (let count = 0; count < 20; count++) {
			forwarder.receive(Buffer.from(':x\n\n'.repeat(KIBIBYTE)));
		}

		expect(excesses).toEqual(['comments']);
		expect(rejections).toEqual(['the upstream sent 69632 bytes without an event, of which a stream may have 65536']);
	});

	it('that keep a connection alive may come for as long as they like between events', () => {
		const {forwarder, rejections, progress, written} = start();
		for (let minute = 1; minute <= 120; minute++) {
			for (let second = 0; second < 60; second++) {
				forwarder.receive(Buffer.from(': keep-alive\n\n'));
			}

			forwarder.receive(Buffer.from(`id: ${minute}\ndata: x\n\n`));
		}

		expect(rejections).toEqual([]);
		expect(progress).toMatchObject({events: 120, lastEventId: '120'});
		expect(Buffer.concat(written).length).toBeGreaterThan(120 * 60 * 14);
	});
});

describe('an event without end', () => {
	it('is rejected beyond the limit of one event', () => {
		const {forwarder, rejections, excesses} = start();
		for (let count = 0; count < 5; count++) {
			forwarder.receive(Buffer.alloc(64 * KIBIBYTE, 'x'));
		}

		expect(excesses).toEqual(['event']);
		expect(rejections).toEqual(['the upstream sent bytes without the end of an event: they take 327680 bytes, of which an event may have 262144 now']);
	});

	// Guards against a process that runs out of memory with unfinished events that are within their limit each.
	it('is rejected sooner beside many others, and an ordinary one is not', () => {
		const {memory, forwarder, rejections} = start();
		const sound = start();
		memory.open().hold(16 * MEBIBYTE);
		sound.memory.open().hold(16 * MEBIBYTE);
		forwarder.receive(Buffer.alloc(20 * KIBIBYTE, 'x'));
		expect(rejections).toEqual(['the upstream sent bytes without the end of an event: they take 20480 bytes, of which an event may have 16384 now']);
		for (const part of ['data: ', 'x'.repeat(7 * KIBIBYTE), '\n\n']) {
			sound.forwarder.receive(Buffer.from(part));
		}

		expect(sound.rejections).toEqual([]);
		expect(sound.progress.events).toBe(1);
	});
});
