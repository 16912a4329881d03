/**
Computes the digest that names a history.
*/
import {createHash} from 'node:crypto';
import type {Digest} from '../ids/digest.js';
import type {TurnRecord} from './turn-record.js';

/** Hex SHA-256 over every field of the turn, `previous` included, so that it covers all turns before it too. */
export const computeDigest = (turn: Omit<TurnRecord, 'digest'>): Digest => {
	const fields = [
		turn.program,
		turn.turn,
		turn.requestId,
		turn.previous,
		turn.input,
		turn.output,
		turn.promptTokens,
		turn.outputTokens,
		turn.finish,
	];
	return createHash('sha256').update(JSON.stringify(fields)).digest('hex') as Digest;
};
