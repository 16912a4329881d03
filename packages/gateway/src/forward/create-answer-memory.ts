/**
Divides the memory for parts of answers among all answers of a process.

A limit for each answer alone does not bound the memory of a process, since any number
of upstreams may send what is no answer at the same time. So what one answer may hold
shrinks with what is free: a single large answer has room, while hundreds at once get
a little each. An answer may always hold a small minimum, so that ordinary answers are
the same beside faulty ones.
*/
import type {AnswerHolding, AnswerMemory, AnswerShare} from './answer-memory.js';

/**
A gateway that may have 200 MB has some 125 MB left when it is fresh. The same bytes
may be there several times for a moment: as read from the connection, as text, and on
their way to the caller.
*/
const TOTAL_BYTES = 16 * 1024 * 1024;
/** Above ordinary answers. */
const MIN_BYTES = 16 * 1024;

type MemoryOptions = {
	/** Bytes for all answers together; beyond them each has only its minimum. */
	readonly totalBytes?: number;
	/** Bytes that each answer may always hold. */
	readonly minBytes?: number;
};

/** For one process. */
export const createAnswerMemory = ({totalBytes = TOTAL_BYTES, minBytes = MIN_BYTES}: MemoryOptions = {}): AnswerMemory => {
	let heldBytes = 0;

	const open = (): AnswerHolding => {
		let ownBytes = 0;
		let isReleased = false;

		const hold = (bytes: number): void => {
			const held = isReleased ? 0 : bytes;
			heldBytes += held - ownBytes;
			ownBytes = held;
		};

		const allowance = ({limitBytes, partOfFree}: AnswerShare): number => {
			const freeBytes = totalBytes - (heldBytes - ownBytes);
			return Math.min(limitBytes, Math.max(minBytes, Math.floor(freeBytes * partOfFree)));
		};

		return {
			hold,
			allowance,
			tryHold(bytes, share) {
				// What becomes less is never refused, though others may have taken what was free.
				if (bytes > ownBytes && bytes > allowance(share)) {
					return false;
				}

				hold(bytes);
				return true;
			},
			release() {
				hold(0);
				isReleased = true;
			},
		};
	};

	return {open, heldBytes: () => heldBytes};
};
