/**
Joins the pieces of a body as they come.

Each piece is an object of some 200 bytes beside its own, so a body that comes a byte
at a time would take hundreds of times its size if its pieces were kept.
*/
import {Buffer} from 'node:buffer';

const MIN_CAPACITY_BYTES = 4096;
const GROWTH = 2;

type BodyJoiner = {
	readonly add: (piece: Uint8Array) => void;
	/** Bytes of memory in use after `bytes` more are added. */
	readonly sizeWith: (bytes: number) => number;
	/** Returns all bytes so far; nothing may be added afterwards. */
	readonly toBytes: () => Uint8Array;
};

/** Keeps a body of one piece as it is. `expectedBytes` is how long the body will be, if that is known; a longer one is taken too. */
export const createBodyJoiner = (expectedBytes: number | undefined): BodyJoiner => {
	let joined: Uint8Array = new Uint8Array();
	let length = 0;

	const chooseCapacity = (needed: number): number => {
		if (length === 0 || needed <= joined.length) {
			return Math.max(needed, joined.length);
		}

		const capacity = Math.max(MIN_CAPACITY_BYTES, needed * GROWTH);
		return expectedBytes !== undefined && expectedBytes >= needed ? Math.min(capacity, expectedBytes) : capacity;
	};

	return {
		sizeWith: bytes => chooseCapacity(length + bytes),
		add(piece) {
			const needed = length + piece.length;
			if (length === 0) {
				joined = piece;
				length = needed;
				return;
			}

			if (needed > joined.length) {
				const larger = Buffer.allocUnsafeSlow(chooseCapacity(needed));
				larger.set(joined.subarray(0, length));
				joined = larger;
			}

			joined.set(piece, length);
			length = needed;
		},
		toBytes: () => joined.subarray(0, length),
	};
};
