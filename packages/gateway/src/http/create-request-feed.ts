/**
Decides how many of the bytes that a caller has sent are parsed, and when.

Load pattern: callers outside our control send heads of thousands of short fields,
hundreds of requests ahead without reading an answer, heads that never end, bodies in
chunks of a byte. Parsed as they come, 64 KiB of one connection become a thousand
requests, or objects of megabytes, before anything is counted. So

- a head is parsed once it is whole, and costs its bytes until then;
- while an answer is under way, a next request is parsed only if few wait in the whole
  process: the rest stays as it came, and nothing more is read;
- what costs much for its size waits for a share of the processor time, so that all
  others have their turn.

A caller that sends one request and reads its answer meets none of this.
*/
import {Buffer} from 'node:buffer';
import type {FeedPool} from './feed-pool.js';
import {findHeadEnd} from './find-head-end.js';
import type {RequestFraming} from './request-framing.js';

/** Requests of one connection whose answers are under way. */
const MAX_OPEN = 64;
/** A head with more lines waits for processor time before it is parsed. */
const MANY_LINES = 256;
/** Processor time that a line of a head probably takes until it is passed on. */
const LINE_MS = 0.001;
/** After a read of a body in chunks that took longer, the next one waits for processor time. */
const COSTLY_MS = 0.3;
/** Part of a body in chunks that is parsed at a time, since its end is not known and requests may follow it. */
const SLICE_BYTES = 1024;
/** Size of a read unless the length of a body is known; an ordinary request comes in one read. */
const SMALL_READ_BYTES = 8 * 1024;
const LARGE_READ_BYTES = 64 * 1024;
/** How much of what a connection has cost still counts after each request. */
const COST_DECAY = 0.9;

const NOTHING: Uint8Array = new Uint8Array();

type FeedOptions = {
	readonly pool: FeedPool;
	/** Must copy what it keeps. */
	readonly parse: (bytes: Uint8Array) => void;
	/** Called when `mayRead` may have become true. */
	readonly onReady: () => void;
	/** Closes the connection: there is no room for what has come, or others have waited shorter with what they sent ahead. */
	readonly close: () => void;
};

export type RequestFeed = ReturnType<typeof createRequestFeed>;

export const createRequestFeed = ({pool, parse, onReady, close}: FeedOptions) => {
	let pending = NOTHING;
	/** Of `pending`, whether its first bytes are already parsed, how far it was searched for the end of a head, and its lines up to there. */
	let hasBegun = false;
	let scannedBytes = 0;
	let lines = 0;
	let held: ReturnType<FeedPool['budget']['open']>;
	let body: RequestFraming | undefined;
	let bodyBytesLeft = 0;
	let openCount = 0;
	/** What of `pool.aheadCount` is of this connection. */
	let ahead = 0;
	let usedMs = 0;
	let isPaused = false;
	let isClosed = false;
	let isRunning = false;
	/** Set while the rest of a body is dropped. */
	let dropping: {bytesLeft: number; readonly onEnd: () => void} | undefined;
	/** Set when the turn of the next head has come. */
	let hasTurn = false;
	let turn: Parameters<FeedPool['gate']['wait']>[0] | undefined;

	const isBodyOver = (): boolean => !body || body.isComplete() || (body.length !== undefined && bodyBytesLeft === 0);
	const mayBegin = (): boolean => openCount === 0 || (openCount < MAX_OPEN && pool.aheadCount < pool.maxAhead);
	const isBlocked = (): boolean => pending.length > 0 && !hasBegun && isBodyOver() && !mayBegin();
	const mayRead = (): boolean => !isClosed && !isPaused && !turn && !(dropping && dropping.bytesLeft <= 0) && !isBlocked();

	/** Nothing is done for the connection any more, though it is a while until `end` is called. */
	const shut = (): void => {
		isClosed = true;
		pool.blocked.delete(shut);
		close();
	};

	/** Pays for what the connection has cost or is about to; `isForHead` if the next head waits for it. */
	const takeTurn = (expectedMs: number, isForHead: boolean): void => {
		turn = {
			expectedMs,
			usedMs,
			start() {
				turn = undefined;
				hasTurn ||= isForHead;
				if (!isRunning) {
					proceed();
				}
			},
		};
		usedMs += expectedMs;
		pool.gate.wait(turn);
	};

	const countHeadBytes = (): number => {
		const scan = findHeadEnd(pending, scannedBytes);
		lines += scan.lines;
		scannedBytes = pending.length;
		if (scan.end === undefined && pending.length < pool.maxHeadBytes) {
			if (hasBegun || openCount > 0) {
				return 0;
			}

			// The parser sees the first byte at once, so that the time for the head begins; if an answer is under way, when that is over.
			hasBegun = true;
			scannedBytes--;
			return 1;
		}

		if (lines > MANY_LINES && !hasTurn) {
			takeTurn(lines * LINE_MS, true);
			if (!hasTurn) {
				// It is searched again when the turn has come.
				scannedBytes = 0;
				lines = 0;
				return 0;
			}
		}

		hasTurn = false;
		hasBegun = false;
		scannedBytes = 0;
		lines = 0;
		return scan.end ?? pending.length;
	};

	const countParsable = (): number => {
		if (isBodyOver()) {
			body = undefined;
			return hasBegun || mayBegin() ? countHeadBytes() : 0;
		}

		if (body!.length === undefined) {
			return Math.min(SLICE_BYTES, pending.length);
		}

		const bytes = Math.min(bodyBytesLeft, pending.length);
		bodyBytesLeft -= bytes;
		return bytes;
	};

	const mayParse = (): boolean => pending.length > 0 && !isPaused && !isClosed && !turn && !dropping;

	const drop = (): void => {
		dropping!.bytesLeft -= pending.length;
		const wasWhole = bodyBytesLeft === 0;
		bodyBytesLeft = Math.max(0, bodyBytesLeft - pending.length);
		pending = NOTHING;
		if (!wasWhole && bodyBytesLeft === 0) {
			dropping!.onEnd();
		}
	};

	const run = (): void => {
		if (dropping) {
			drop();
			return;
		}

		isRunning = true;
		while (mayParse()) {
			const bytes = countParsable();
			if (bytes === 0) {
				break;
			}

			const part = pending.subarray(0, bytes);
			pending = pending.subarray(bytes);
			parse(part);
		}

		isRunning = false;
		// The rest of the body may have become unwanted while its head or a part of it was parsed.
		if (dropping && pending.length > 0) {
			drop();
		}
	};

	/** Copies what waits, since `pending` may be part of a buffer that all connections share. */
	const keepPending = (): void => {
		if (pending.length === 0) {
			held?.release();
			held = undefined;
			pending = NOTHING;
			return;
		}

		held ??= pool.budget.open(0);
		if (held?.growTo(pending.length)) {
			pending = Buffer.from(pending);
		} else {
			pool.closed['no-room']++;
			shut();
		}
	};

	const noteBlocked = (): void => {
		pool.blocked.delete(shut);
		if (isClosed || !isBlocked()) {
			return;
		}

		pool.blocked.add(shut);
		if (pool.blocked.size > pool.maxBlocked) {
			const [longest] = pool.blocked;
			pool.closed.ahead++;
			longest!();
		}
	};

	const proceed = (): void => {
		if (isClosed || isRunning) {
			return;
		}

		run();
		keepPending();
		noteBlocked();
		if (mayRead()) {
			onReady();
		}
	};

	return {
		/** Whether bytes should be read from the connection now. */
		mayRead,
		/** How many bytes the next read should take at most. */
		readSize: (): number => isBodyOver() || body!.length === undefined ? SMALL_READ_BYTES : Math.min(LARGE_READ_BYTES, bodyBytesLeft),
		/** Takes what was read; `bytes` may be used again afterwards. */
		receive(bytes: Uint8Array): void {
			const startedAt = performance.now();
			const wasInChunks = !isBodyOver() && body!.length === undefined;
			pending = pending.length === 0 ? bytes : Buffer.concat([pending, bytes]);
			run();
			keepPending();
			noteBlocked();
			const costMs = performance.now() - startedAt;
			if (wasInChunks && costMs > COSTLY_MS && !isClosed && !turn) {
				takeTurn(costMs, false);
			}
		},
		/** Must be called while `parse` runs, when the head of a request has been parsed. Returns a function to call when its answer is over. */
		beginRequest(framing: RequestFraming | undefined): () => void {
			body = framing;
			bodyBytesLeft = framing?.length ?? 0;
			const aheadHere = openCount > 0 && !isClosed ? 1 : 0;
			usedMs *= COST_DECAY;
			openCount++;
			ahead += aheadHere;
			pool.aheadCount += aheadHere;
			return () => {
				openCount--;
				// What is left when the connection is closed is given back by `end`.
				if (!isClosed) {
					ahead -= aheadHere;
					pool.aheadCount -= aheadHere;
				}

				proceed();
			};
		},
		/** Drops the rest of a body of known length unparsed, and reads no more of it than `maxBytes`; nothing after it is taken, so that the connection must be closed. Returns `false` if the length is not known. Calls `onEnd` once the whole body has come. */
		dropBody(maxBytes: number, onEnd: () => void): boolean {
			if (isBodyOver() || body!.length === undefined) {
				return false;
			}

			dropping = {bytesLeft: maxBytes, onEnd};
			return true;
		},
		/** Nothing is parsed until `resume`. */
		pause(): void {
			isPaused = true;
		},
		resume(): void {
			isPaused = false;
			proceed();
		},
		/** Must be called when the connection is closed. */
		end(): void {
			isClosed = true;
			pool.aheadCount -= ahead;
			ahead = 0;
			held?.release();
			pending = NOTHING;
			pool.blocked.delete(shut);
			if (turn) {
				pool.gate.leave(turn);
			}
		},
	};
};
