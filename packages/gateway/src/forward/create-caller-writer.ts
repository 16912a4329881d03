/**
Writes to a caller, and pauses the upstream while the caller takes less than it sends.

Each write costs several objects until the caller takes it, however small it is. An
upstream may send thousands of tiny pieces in one read, so only the first small one of a
turn of the event loop is written at once, and those after it are gathered. An ordinary
stream, of which one event comes at a time, does not wait for that.
*/
import type {CallerResponse} from './caller-response.js';
import {createByteBlocks} from './create-byte-blocks.js';

type WriterOptions = {
	readonly response: Pick<CallerResponse, 'write' | 'onDrain'>;
	readonly pause: () => void;
	readonly resume: () => void;
};

const MIN_GATHERED_BYTES = 4096;

export const createCallerWriter = ({response, pause, resume}: WriterOptions) => {
	const gathered = createByteBlocks();
	let turnEnd: NodeJS.Immediate | undefined;
	let isWaiting = false;

	const send = (bytes: Uint8Array): void => {
		if (response.write(bytes)) {
			return;
		}

		// Again also while it waits, since the upstream may have been resumed for another reason.
		pause();
		if (isWaiting) {
			return;
		}

		isWaiting = true;
		response.onDrain(() => {
			isWaiting = false;
			resume();
		});
	};

	const sendGathered = (): void => {
		if (gathered.size() > 0) {
			const bytes = gathered.copy();
			gathered.take();
			send(bytes);
		}
	};

	const flush = (): void => {
		clearImmediate(turnEnd);
		turnEnd = undefined;
		sendGathered();
	};

	return {
		write(bytes: Uint8Array): void {
			if (!turnEnd || (bytes.length >= MIN_GATHERED_BYTES && gathered.size() === 0)) {
				turnEnd ??= setImmediate(flush);
				send(bytes);
				return;
			}

			gathered.append(bytes);
			if (gathered.size() >= MIN_GATHERED_BYTES) {
				sendGathered();
			}
		},
		/** Writes what is gathered. Must be called before the response ends or goes on elsewhere. */
		flush,
	};
};
