/**
Writes to a caller, and pauses the upstream while the caller takes less than it sends.
*/
import type {CallerResponse} from './caller-response.js';

type WriterOptions = {
	readonly response: Pick<CallerResponse, 'write' | 'onDrain'>;
	readonly pause: () => void;
	readonly resume: () => void;
};

/** Returns the function that writes. */
export const createCallerWriter = ({response, pause, resume}: WriterOptions) => {
	let isWaiting = false;
	return (bytes: Uint8Array): void => {
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
};
