/**
Cuts off the part of an answer that its caller already has.
*/
import {Buffer} from 'node:buffer';

type Piece = {
	/** UTF-8 bytes of the answer before the piece. */
	readonly offset: number;
	readonly text: string;
};

/** Returns the part of a piece at or after byte `from`. If `from` is inside a character, the whole character is included. */
export const sliceAnswer = (offset: number, text: string, from: number): Piece => {
	let position = offset;
	let skipped = 0;
	for (const character of text) {
		const end = position + Buffer.byteLength(character);
		if (end > from) {
			break;
		}

		position = end;
		skipped += character.length;
	}

	return {offset: position, text: text.slice(skipped)};
};
