/**
Reads the whole body of a request into memory, up to a limit.
*/
import {Buffer} from 'node:buffer';
import type {IncomingMessage} from 'node:http';
import {createByteBlocks} from '../forward/create-byte-blocks.js';
import type {ByteReservation} from './create-byte-budget.js';
import type {UnreadReason} from './unread-reason.js';

type ReadBody =
	| {readonly kind: 'whole'; readonly bytes: Uint8Array}
	| {readonly kind: 'too-large'; readonly reason: string}
	| {readonly kind: UnreadReason | 'broken-off'};

/** Requests without a body need no timer. */
const hasBody = ({headers}: IncomingMessage): boolean => headers['content-length'] !== undefined || headers['transfer-encoding'] !== undefined;

type ReadOptions = {
	readonly maxBytes: number;
	/** Milliseconds in which the body must have come. */
	readonly maxMs: number;
	/** What the request holds; it is not released here. */
	readonly held: Pick<ByteReservation, 'canGrowTo' | 'growTo'>;
};

/** Bounds the processor time that one body takes: each piece costs a microsecond or more, however small it is. A body of 4 MiB has no more pieces if these have 64 bytes. */
const MAX_PIECES = 65_536;

const REASON_TOO_LARGE = 'the request body exceeds the limit maxBodyBytes';

/** A body in one block stays where it is. Blocks that were outgrown would wait for the collector, uncounted, so none is. */
const joinBlocks = (blocks: ReturnType<typeof createByteBlocks>): Uint8Array => {
	if (blocks.size() > 0 && blocks.size() < blocks.capacity()) {
		return blocks.copy();
	}

	const taken = blocks.take();
	return taken.length === 1 ? taken[0]! : Buffer.concat(taken);
};

/** The announced length in bytes; `undefined` for a body in chunks and for none. */
const readLength = ({headers}: IncomingMessage): number | undefined => headers['content-length'] === undefined ? undefined : Number(headers['content-length']);

/** Reads nothing of a body whose announced length is too large or has no room. Stops reading once the body exceeds `maxBytes`, comes in too many pieces, does not end within `maxMs`, or `held` cannot grow. `broken-off`: the connection was lost before the end of the body. */
export const readBody = async (req: IncomingMessage, {maxBytes, maxMs, held}: ReadOptions): Promise<ReadBody> => new Promise(resolve => {
	const announced = readLength(req);
	if (announced !== undefined && announced > maxBytes) {
		resolve({kind: 'too-large', reason: REASON_TOO_LARGE});
		return;
	}

	if (announced !== undefined && !held.canGrowTo(announced)) {
		resolve({kind: 'no-room'});
		return;
	}

	const blocks = createByteBlocks();
	let bytes = 0;
	let pieces = 0;
	const end = (outcome: ReadBody): void => {
		clearTimeout(timer);
		resolve(outcome);
	};

	const giveUp = (outcome: ReadBody): void => {
		req.off('data', onData);
		req.pause();
		// The request may live on for a while.
		blocks.take();
		end(outcome);
	};

	const timer = hasBody(req) ? setTimeout(giveUp, maxMs, {kind: 'slow-body'} satisfies ReadBody) : undefined;

	const onData = (piece: Uint8Array): void => {
		bytes += piece.length;
		pieces++;
		if (bytes > maxBytes) {
			giveUp({kind: 'too-large', reason: REASON_TOO_LARGE});
		} else if (pieces > MAX_PIECES) {
			giveUp({kind: 'too-large', reason: `the request body comes in more than ${MAX_PIECES} pieces`});
		} else if (held.growTo(Math.max(blocks.capacity(), bytes))) {
			blocks.append(piece);
		} else {
			giveUp({kind: 'no-room'});
		}
	};

	req.on('data', onData);
	req.on('end', () => {
		end({kind: 'whole', bytes: joinBlocks(blocks)});
	});
	req.on('error', () => {
		end({kind: 'broken-off'});
	});
	req.on('close', () => {
		end({kind: 'broken-off'});
	});
});
