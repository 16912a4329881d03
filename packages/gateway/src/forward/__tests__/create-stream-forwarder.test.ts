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
