import {
	afterEach, beforeEach, describe, expect, it, vi,
} from 'vitest';
import {createLinkSender} from '../create-link-sender.js';
import {MAX_DEFERRAL_MS} from '../max-deferral-ms.js';

const MANY = 1000;

const startSender = () => {
	const sent: number[] = [];
	const sender = createLinkSender({
		push({id}) {
			sent.push(id!);
		},
		close: () => undefined,
	});
	return {sender, sent};
};

describe('createLinkSender', () => {
	beforeEach(() => {
		vi.useFakeTimers();
	});
	afterEach(() => {
		vi.useRealTimers();
	});

	// Guards against SHORT: each message that nobody waited for woke both processes.
	it('sends what can wait with the next message, before it', () => {
		const {sender, sent} = startSender();
		sender.release();
		sender.sendLater({id: 1});
		sender.sendLater({id: 2});
		expect(sent).toEqual([]);
		sender.send({id: 3});
		expect(sent).toEqual([1, 2, 3]);
		expect(vi.getTimerCount()).toBe(0);
	});

	it('sends what can wait on its own once the time is over', () => {
		const {sender, sent} = startSender();
		sender.release();
		sender.sendLater({id: 1});
		vi.advanceTimersByTime(MAX_DEFERRAL_MS / 2);
		sender.sendLater({id: 2});
		vi.advanceTimersByTime(MAX_DEFERRAL_MS / 2);
		expect(sent).toEqual([1, 2]);
	});

	it('keeps a bounded number of messages', () => {
		const {sender, sent} = startSender();
		sender.release();
		for (let id = 0; id < MANY; id++) {
			sender.sendLater({id});
		}

		expect(sent.length).toBeGreaterThan(MANY * 0.9);
	});

	it('holds everything until the other side has been heard', () => {
		const {sender, sent} = startSender();
		sender.sendLater({id: 1});
		sender.send({id: 2});
		vi.advanceTimersByTime(MAX_DEFERRAL_MS * 2);
		expect(sent).toEqual([]);
		sender.release();
		expect(sent).toEqual([1, 2]);
	});

	it('sends nothing after the end of the link', () => {
		const {sender, sent} = startSender();
		sender.release();
		sender.sendLater({id: 1});
		sender.close();
		vi.advanceTimersByTime(MAX_DEFERRAL_MS * 2);
		expect(sent).toEqual([]);
	});
});
