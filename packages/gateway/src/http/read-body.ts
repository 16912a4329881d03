/**
Reads the whole body of a request into memory, up to a limit.
*/
import type {IncomingMessage} from 'node:http';
import type {ByteReservation} from './create-byte-budget.js';
import {createBodyJoiner} from './create-body-joiner.js';

type ReadBody =
	| {readonly kind: 'whole'; readonly bytes: Uint8Array}
	| {readonly kind: 'too-large'; readonly reason: string}
	| {readonly kind: 'no-room' | 'broken-off'};

type ReadOptions = {
	readonly maxBytes: number;
	/** What the request holds; it is not released here. */
	readonly held: Pick<ByteReservation, 'canGrowTo' | 'growTo'>;
};

/** Bounds the processor time that one body takes: each piece costs a microsecond or more, however small it is. A body of 4 MiB has no more pieces if these have 64 bytes. */
const MAX_PIECES = 65_536;

const REASON_TOO_LARGE = 'the request body exceeds the limit maxBodyBytes';

/** The announced length in bytes; `undefined` for a body in chunks and for none. */
const readLength = ({headers}: IncomingMessage): number | undefined => headers['content-length'] === undefined ? undefined : Number(headers['content-length']);

/** Reads nothing of a body whose announced length is too large or has no room. Stops reading once the body exceeds `maxBytes`, comes in too many pieces, or `held` cannot grow (`no-room`). `broken-off`: the connection was lost before the end of the body. */
export const readBody = async (req: IncomingMessage, {maxBytes, held}: ReadOptions): Promise<ReadBody> => new Promise(resolve => {
	const announced = readLength(req);
	if (announced !== undefined && announced > maxBytes) {
		resolve({kind: 'too-large', reason: REASON_TOO_LARGE});
		return;
	}

	if (announced !== undefined && !held.canGrowTo(announced)) {
		resolve({kind: 'no-room'});
		return;
	}

	const joiner = createBodyJoiner(announced);
	let bytes = 0;
	let pieces = 0;
	const giveUp = (outcome: ReadBody): void => {
		req.off('data', onData);
		req.pause();
		resolve(outcome);
	};

	const onData = (piece: Uint8Array): void => {
		bytes += piece.length;
		pieces++;
		if (bytes > maxBytes) {
			giveUp({kind: 'too-large', reason: REASON_TOO_LARGE});
		} else if (pieces > MAX_PIECES) {
			giveUp({kind: 'too-large', reason: `the request body comes in more than ${MAX_PIECES} pieces`});
		} else if (held.growTo(joiner.sizeWith(piece.length))) {
			joiner.add(piece);
		} else {
			giveUp({kind: 'no-room'});
		}
	};

	req.on('data', onData);
	req.on('end', () => {
		resolve({kind: 'whole', bytes: joiner.toBytes()});
	});
	req.on('error', () => {
		resolve({kind: 'broken-off'});
	});
	req.on('close', () => {
		resolve({kind: 'broken-off'});
	});
});
