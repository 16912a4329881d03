/**
The memory that all requests of callers in a process may hold together.

Each request takes from it what has arrived and not what is announced: bytes that are
yet to come hold no memory, and a few callers that announce much and send nothing
would use up the room of all others.
*/

export type ByteBudget = {
	/** Bytes that all requests hold now. */
	readonly heldBytes: () => number;
	/** Begins to count what one request holds, which is `fixedBytes` at first; returns `undefined` if there is no room for these. */
	readonly open: (fixedBytes: number) => ByteReservation | undefined;
};

export type ByteReservation = {
	/** Whether `growTo` would succeed now. */
	readonly canGrowTo: (bytes: number) => boolean;
	/** Raises what the request holds beside its fixed bytes to `bytes`; returns `false` and changes nothing if there is no room for that, or after `release`. */
	readonly growTo: (bytes: number) => boolean;
	/** Gives back all that the request holds. Further calls change nothing. */
	readonly release: () => void;
};

export const createByteBudget = (maxBytes: number): ByteBudget => {
	let heldBytes = 0;
	return {
		heldBytes: () => heldBytes,
		open(fixedBytes) {
			if (heldBytes + fixedBytes > maxBytes) {
				return undefined;
			}

			let ownBytes = fixedBytes;
			let isOpen = true;
			heldBytes += fixedBytes;
			const canGrowTo = (bytes: number): boolean => isOpen && heldBytes - ownBytes + fixedBytes + bytes <= maxBytes;
			return {
				canGrowTo,
				growTo(bytes) {
					if (!canGrowTo(bytes)) {
						return false;
					}

					const more = Math.max(0, fixedBytes + bytes - ownBytes);
					ownBytes += more;
					heldBytes += more;
					return true;
				},
				release() {
					isOpen = false;
					heldBytes -= ownBytes;
					ownBytes = 0;
				},
			};
		},
	};
};
