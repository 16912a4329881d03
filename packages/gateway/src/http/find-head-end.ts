/**
Finds the end of a request's head in the bytes that have come of it.
*/

const NEWLINE = 0x0A;
const RETURN = 0x0D;

type HeadScan = {
	/** Index after the empty line that ends the head; `undefined` if it has not come. */
	readonly end: number | undefined;
	/** Lines that ended, up to the end of the head. */
	readonly lines: number;
};

/** Looks at the lines that end at `from` or later. An empty line may also end without a carriage return: a head that seems to end too early only comes to the parser in two parts. */
export const findHeadEnd = (bytes: Uint8Array, from: number): HeadScan => {
	let lines = 0;
	for (let index = bytes.indexOf(NEWLINE, from); index !== -1; index = bytes.indexOf(NEWLINE, index + 1)) {
		lines++;
		const before = bytes[index - 1] === RETURN ? index - 2 : index - 1;
		if (before < 0 || bytes[before] === NEWLINE) {
			return {end: index + 1, lines};
		}
	}

	return {end: undefined, lines};
};
