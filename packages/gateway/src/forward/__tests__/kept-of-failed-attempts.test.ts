import {Buffer} from 'node:buffer';
import process from 'node:process';
import {setImmediate as endTurn} from 'node:timers/promises';
import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';
import type {Dispatcher} from 'undici';
import {expect, it} from 'vitest';
import type {CallerResponse} from '../caller-response.js';
import {createAnswerMemory} from '../create-answer-memory.js';
import {runAttempt} from '../run-attempt.js';

const CALLERS = 100;
const MEBIBYTE = 1024 * 1024;
/** The memory for answers has 16 MiB; the same bytes may be there twice for a moment. */
const MAX_GROWTH_MIB = 32;

setFlagsFromString('--expose-gc');
const collect = runInNewContext('gc') as () => void;

const measure = (): number => {
	collect();
	return process.memoryUsage().arrayBuffers / MEBIBYTE;
};

// Guards against a gateway that runs out of memory because calls whose next attempt is under way still hold the answers of those before, which no budget counts.
it.each([['is an error', 'failed'], ['breaks off', 'unknown']])('nothing is left of a plain answer that %s once its attempt is over', async (_name, kind) => {
	const memory = createAnswerMemory();
	/** What a caller's response keeps until it ends, as `createCallerResponse` does. */
	const disconnectListeners: Array<() => void> = [];
	const before = measure();
	for (let count = 0; count < CALLERS; count++) {
		const response: CallerResponse = {
			isStarted: () => false,
			isDisconnected: () => false,
			onDisconnect(listener) {
				disconnectListeners.push(listener);
			},
			refuse() {/* An attempt refuses nothing. */},
			start() {/* Nothing is passed on. */},
			sendAfterMessages() {/* Not a kept turn. */},
			write: () => true,
			onDrain() {/* Takes all. */},
			finish() {/* Nothing is passed on. */},
			abort() {/* Nothing is passed on. */},
		};
		let handler!: Dispatcher.DispatchHandler;
		const controller = {abort() {/* Over. */}, pause() {/* Not paused. */}, resume() {/* Not paused. */}} as unknown as Dispatcher.DispatchController;
		const result = runAttempt({
			plan: {
				call: {id: 'r1', method: 'GET', path: '/'}, route: {kind: 'safe', isResumable: false}, body: new Uint8Array(), deadlineAt: Date.now() + 60_000,
			},
			upstream: {id: 'u1'},
			pool: {
				dispatch(_build: unknown, dispatched: Dispatcher.DispatchHandler) {
					handler = dispatched;
					return () => {/* Sent. */};
				},
			},
			codec: {
				encodeCall: () => [], decodeResponse: (status: number) => ({
					status, headers: [], answeredRequestId: 'r1', isSigned: true, hasNotRun: false, isOtherUpstream: false, isLeaving: false, isFramed: true,
				}),
			},
			response,
			active: {},
			progress: {lastEventId: undefined, events: 0, firstEventAt: undefined},
			priority: undefined,
			memory,
			recordEvents: () => undefined,
			completeTurn: async () => true,
			confirmFirstEvent: () => true,
			onExcess() {/* Not checked. */},
			onSent() {/* Not checked. */},
			onServed() {/* Not checked. */},
			onUpstreamHead() {/* Not checked. */},
		} as unknown as Parameters<typeof runAttempt>[0]);
		handler.onRequestStart?.(controller, {});
		handler.onResponseStart?.(controller, kind === 'failed' ? 500 : 200, {}, '');
		for (let piece = 0; piece < 15; piece++) {
			handler.onResponseData?.(controller, Buffer.alloc(64 * 1024));
		}

		if (kind === 'failed') {
			handler.onResponseEnd?.(controller, {});
		} else {
			handler.onResponseError?.(controller, new Error('The connection was reset.'));
		}

		const ended = await result;
		expect(ended.kind).toBe(kind);
		if (ended.kind === 'failed') {
			expect(memory.heldBytes()).toBeGreaterThanOrEqual(15 * 64 * 1024);
			// The request is sent to another upstream.
			ended.dropResponse();
		}
	}

	await endTurn();
	const growth = Math.round(measure() - before);
	expect(memory.heldBytes()).toBe(0);
	expect(disconnectListeners).toHaveLength(CALLERS);
	expect(growth).toBeLessThan(MAX_GROWTH_MIB);
});
