/**
Collects bytes that arrive in pieces of any size.

The bytes are copied into blocks: a piece that was kept as it is would cost an object
of its own, and keep all of the read in which it arrived. So a body in pieces of one
byte costs little more than its bytes.
*/
import {Buffer} from 'node:buffer';

const MIN_BLOCK_BYTES = 256;
/** Blocks for small pieces become as large as what is held already, up to this. */
const MAX_SPARE_BYTES = 16 * 1024;
/** Blocks for larger pieces are as large as these, up to this. */
const MAX_BLOCK_BYTES = 64 * 1024;

export const createByteBlocks = () => {
	let blocks: Uint8Array[] = [];
	/** Bytes used of the last block. */
	let usedBytes = 0;
	let size = 0;
	let capacity = 0;

	const addBlock = (neededBytes: number): void => {
		// The pool of `allocUnsafe` would keep the bytes of others.
		const block = Buffer.allocUnsafeSlow(Math.min(MAX_BLOCK_BYTES, Math.max(MIN_BLOCK_BYTES, neededBytes, Math.min(size, MAX_SPARE_BYTES))));
		blocks.push(block);
		usedBytes = 0;
		capacity += block.length;
	};

	const take = (): Uint8Array[] => {
		const last = blocks.pop();
		const taken: Uint8Array[] = last ? [...blocks, last.subarray(0, usedBytes)] : [];
		blocks = [];
		usedBytes = 0;
		size = 0;
		capacity = 0;
		return taken;
	};

	return {
		append(bytes: Uint8Array): void {
			for (let offset = 0; offset < bytes.length;) {
				if (usedBytes === (blocks.at(-1)?.length ?? 0)) {
					addBlock(bytes.length - offset);
				}

				const block = blocks.at(-1)!;
				const count = Math.min(block.length - usedBytes, bytes.length - offset);
				block.set(bytes.subarray(offset, offset + count), usedBytes);
				usedBytes += count;
				offset += count;
				size += count;
			}
		},
		/** Bytes collected. */
		size: (): number => size,
		/** Bytes allotted. */
		capacity: (): number => capacity,
		/** The byte that was appended last. */
		lastByte: (): number | undefined => blocks.at(-1)?.[usedBytes - 1],
		/** Returns everything in order and holds nothing afterwards. */
		take,
		/** Returns a copy of everything in one piece. */
		copy: (): Uint8Array => Buffer.concat([...blocks.slice(0, -1), ...blocks.slice(-1).map(last => last.subarray(0, usedBytes))], size),
	};
};
