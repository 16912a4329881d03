/**
Leaves out the part of an answer that its caller has already.
*/
import {Buffer} from 'node:buffer';

type Piece = {
	/** UTF-8 bytes of the answer before the piece. */
	readonly offset: number;
	readonly text: string;
};

/** Returns the part of a piece at or after byte `from`; a character that `from` falls into comes whole. */
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
