/**
Reads the whole body of a request into memory, up to a limit.
*/
import type {IncomingMessage} from 'node:http';
import {createBodyJoiner} from './create-body-joiner.js';

type ReadBody =
	| {readonly kind: 'whole'; readonly bytes: Uint8Array}
	| {readonly kind: 'too-large'; readonly reason: string}
	| {readonly kind: 'broken-off'};

/** Bounds the processor time that one body takes: each piece costs a microsecond or more, however small it is. A body of 4 MiB has no more pieces if these have 64 bytes. */
const MAX_PIECES = 65_536;

const readLength = ({headers}: IncomingMessage): number | undefined => headers['content-length'] === undefined ? undefined : Number(headers['content-length']);

/** Stops reading once the body exceeds `maxBytes` or comes in too many pieces. `broken-off`: the connection was lost before the end of the body. */
export const readBody = async (req: IncomingMessage, maxBytes: number): Promise<ReadBody> => new Promise(resolve => {
	const joiner = createBodyJoiner(readLength(req));
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
			giveUp({kind: 'too-large', reason: 'the request body exceeds the limit maxBodyBytes'});
		} else if (pieces > MAX_PIECES) {
			giveUp({kind: 'too-large', reason: `the request body comes in more than ${MAX_PIECES} pieces`});
		} else {
			joiner.add(piece);
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
