/**
Reads from one connection to an upstream in place of Node, which reads up to 2 MiB
from a socket in an iteration of the event loop, in buffers of 64 KiB.

Bytes that are neither a head nor data of a body nor the end of an answer are
bounded before undici parses them, because parsing may cost far more than
receiving: each field of a head becomes an object, and past its limit undici builds
an error for each field that is left in the same piece.

While a caller is slow, nothing is read until undici has taken what is there, since
undici itself reads once more at each resumption, however little it takes.

A large read stops the reading until the next turn at the gate.
*/
import {Buffer} from 'node:buffer';
import type {OnReadOpts, Socket} from 'node:net';
import process from 'node:process';
import {Duplex} from 'node:stream';
import {NoAnswerError} from './no-answer-error.js';
import type {upstreamReads} from './upstream-reads.js';

const KIBIBYTE = 1024;
/** Larger than any sound head, and than what may come between two pieces of a body. */
const MAX_BYTES_WITHOUT_PROGRESS = 16 * KIBIBYTE;
/** More than a sound head or trailer has. Each becomes objects of some hundred bytes, however short it is. */
const MAX_FIELDS_WITHOUT_PROGRESS = 256;
/** Size of a read while a head is pending or the bytes bring nothing. */
const SMALL_READ_BYTES = 2 * KIBIBYTE;
/** Size of a read within a body, and what is kept while undici takes nothing. */
const LARGE_READ_BYTES = 16 * KIBIBYTE;
/** A read that brings as many bytes as this is large: the next one waits for its turn at the gate. */
const LARGE_FROM_BYTES = SMALL_READ_BYTES;

/** Filled and copied in one go, so that one buffer serves all connections. */
const largeBuffer = Buffer.allocUnsafeSlow(LARGE_READ_BYTES);
const smallBuffer = largeBuffer.subarray(0, SMALL_READ_BYTES);

const NEWLINE = 0x0A;

/** Counts the ends of lines; what is data of a body among them is forgotten with the progress that it brings. */
const countFields = (bytes: Uint8Array): number => {
	let count = 0;
	for (let index = bytes.indexOf(NEWLINE); index !== -1; index = bytes.indexOf(NEWLINE, index + 1)) {
		count++;
	}

	return count;
};

type CutReason = keyof (typeof upstreamReads)['counts']['cut'];

const CUT_MESSAGES: Record<CutReason, (amount: string) => string> = {
	idle: () => 'bytes arrived without a request',
	head: amount => `${amount} arrived without a whole head of an answer`,
	body: amount => `${amount} arrived without data or the end of the answer`,
};

/** `socketOptions` are for the socket's constructor, and `attach` must be called before anything is read from it. */
export const createConnectionReads = ({gate, counts}: typeof upstreamReads) => {
	let socket: Socket;
	/** What may arrive next; a connection without a request is `idle`. */
	let expected: CutReason = 'idle';
	let bytesWithoutProgress = 0;
	let fieldsWithoutProgress = 0;
	/** What the answer has cost so far. */
	let usedMs = 0;
	let wasUnproductive = false;
	let wasLarge = false;
	/** Whether the stream has asked for bytes and reading has not been started since. */
	let isReadOwed = false;
	let isCheckScheduled = false;
	let measuredFrom: number | undefined;
	let largeBytes = LARGE_FROM_BYTES;
	let largeMs = 0;
	let turn: Parameters<typeof gate.wait>[0] | undefined;
	let prepaidMs = 0;
	let startReading: (size: number) => void;

	const chooseBuffer = (): Uint8Array => expected === 'body' && !wasUnproductive ? largeBuffer : smallBuffer;

	const returnPrepaid = (): void => {
		gate.charge(-prepaidMs);
		prepaidMs = 0;
	};

	const finishMeasuring = (): void => {
		largeMs = performance.now() - measuredFrom!;
		measuredFrom = undefined;
		usedMs += largeMs;
		counts.largeMs += largeMs;
		gate.charge(largeMs - prepaidMs);
		prepaidMs = 0;
	};

	/** Measures until the bytes have been handled: they are parsed in a tick that is scheduled before. */
	const scheduleMeasuring = (): void => {
		process.nextTick(finishMeasuring);
	};

	const waitForTurn = (): void => {
		const expectedMs = largeMs / largeBytes * chooseBuffer().length;
		turn = {
			expectedMs,
			usedMs,
			start() {
				turn = undefined;
				prepaidMs = expectedMs;
				startReading(LARGE_READ_BYTES);
			},
		};
		gate.wait(turn);
	};

	const startOwedRead = (): void => {
		isCheckScheduled = false;
		// If too much is there, the next call of `read` schedules this again.
		if (!isReadOwed || socket.destroyed || socket.readableLength >= LARGE_READ_BYTES) {
			return;
		}

		isReadOwed = false;
		if (wasLarge) {
			waitForTurn();
		} else {
			startReading(LARGE_READ_BYTES);
		}
	};

	/** Undici gives back what it does not take, after it has called `read`. */
	const scheduleOwedRead = (): void => {
		if (isReadOwed && !isCheckScheduled) {
			isCheckScheduled = true;
			process.nextTick(startOwedRead);
		}
	};

	const cut = (): false => {
		const amount = fieldsWithoutProgress >= MAX_FIELDS_WITHOUT_PROGRESS ? `${fieldsWithoutProgress} lines` : `${MAX_BYTES_WITHOUT_PROGRESS / KIBIBYTE} KiB`;
		counts.cut[expected]++;
		socket.destroy(new NoAnswerError(CUT_MESSAGES[expected](amount)));
		return false;
	};

	const receive = (byteCount: number, buffer: Uint8Array): boolean => {
		const startedAt = performance.now();
		if (expected === 'idle' || bytesWithoutProgress >= MAX_BYTES_WITHOUT_PROGRESS || fieldsWithoutProgress >= MAX_FIELDS_WITHOUT_PROGRESS) {
			return cut();
		}

		wasUnproductive = bytesWithoutProgress > 0;
		// What undici leaves while a caller is slow is data of a body, which brings nothing yet.
		const areFields = expected === 'head' || (wasUnproductive && socket.readableLength === 0);
		bytesWithoutProgress += byteCount;
		wasLarge = byteCount >= LARGE_FROM_BYTES;
		const size = wasLarge ? 'large' : 'small';
		counts.reads[size]++;
		counts.bytes[size] += byteCount;
		const copy = Buffer.allocUnsafeSlow(byteCount);
		copy.set(buffer.subarray(0, byteCount));
		if (areFields) {
			fieldsWithoutProgress += countFields(copy);
		}

		const hasRoom = socket.push(copy);
		if (!wasLarge) {
			returnPrepaid();
			return hasRoom;
		}

		largeBytes = byteCount;
		measuredFrom = startedAt;
		scheduleMeasuring();
		return false;
	};

	const onread: OnReadOpts = {buffer: chooseBuffer, callback: receive};

	return {
		socketOptions: {onread, highWaterMark: LARGE_READ_BYTES},
		attach(connecting: Socket): void {
			socket = connecting;
			// The socket's own `read` would start to read each time.
			const read = Duplex.prototype.read.bind(connecting);
			startReading = socket._read.bind(socket);
			socket._read = () => {
				if (!wasLarge && socket.readableLength < LARGE_READ_BYTES) {
					startReading(LARGE_READ_BYTES);
					return;
				}

				isReadOwed = true;
				scheduleOwedRead();
			};

			socket.read = size => {
				const startedAt = performance.now();
				const chunk: unknown = read(size);
				scheduleOwedRead();
				// Bytes that waited for a slow caller are parsed when it takes more.
				if (wasLarge && chunk !== null && measuredFrom === undefined) {
					measuredFrom = startedAt;
					scheduleMeasuring();
				}

				return chunk;
			};

			socket.once('close', () => {
				isReadOwed = false;
				if (turn) {
					gate.leave(turn);
					turn = undefined;
				}

				returnPrepaid();
			});
		},
		/** Must be called when a request begins, before its bytes are sent. */
		startRequest(): void {
			expected = 'head';
			bytesWithoutProgress = 0;
			fieldsWithoutProgress = 0;
			usedMs = 0;
		},
		/** Must be called with the head of an answer, other than an interim one, and with data of its body. */
		recordProgress(): void {
			expected = 'body';
			bytesWithoutProgress = 0;
			fieldsWithoutProgress = 0;
		},
		/** Must be called when the request is over. The end of the connection must be seen without delay from then on. */
		endRequest(): void {
			expected = 'idle';
			wasLarge = false;
			if (turn && gate.leave(turn)) {
				turn = undefined;
				startReading(LARGE_READ_BYTES);
			}
		},
	};
};
