/**
Computes the digest that identifies a history up to and including one turn.
*/
import {createHash} from 'node:crypto';
import type {Digest} from '../ids/digest.js';
import type {TurnRecord} from './turn-record.js';

/** Returns the hex SHA-256 of all fields of the turn. `previous` is one of them, so the digest also covers all earlier turns. */
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
