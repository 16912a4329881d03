/**
Bounds the rest of a refusal, which is read rather than aborted to keep the
connection usable, but not without end.
*/

const MAX_IGNORED_BYTES = 64 * 1024;
const MAX_IGNORED_MS = 1000;

/** `abort` closes the connection. */
export const createIgnoredRest = (abort: () => void) => {
	let bytes = 0;
	let timer: NodeJS.Timeout | undefined;
	return {
		begin(): void {
			timer = setTimeout(abort, MAX_IGNORED_MS).unref();
		},
		count(chunk: Uint8Array): void {
			bytes += chunk.length;
			if (bytes > MAX_IGNORED_BYTES) {
				clearTimeout(timer);
				abort();
			}
		},
		/** The response has ended. */
		end(): void {
			clearTimeout(timer);
		},
	};
};
