/**
Keeps extra copies within a share of the sends of this process, and so within the
same share of the sends of all processes together, without a message.

Load: the server side slows down as a whole, so that all answers come late and every
request would ask for a copy, which would make it slower still.
*/

/** Copies that may follow at once after a time without any; so a burst of slow answers takes no more than this beyond its share. */
const MAX_SAVED_COPIES = 3;

export type CopyAccount = {
	/** Must be called with each send that could have a copy. `room` in [0, 1]: how much of the limit the service has room for. */
	readonly earn: (room: number) => void;
	/** Returns whether one more copy may be sent, and counts it if so. */
	readonly trySpend: () => boolean;
};

/** At any time at most `maxShare` times the sends that earned have been spent. */
export const createCopyAccount = (maxShare: number): CopyAccount => {
	let saved = 0;
	return {
		earn(room) {
			saved = Math.min(MAX_SAVED_COPIES, saved + (maxShare * room));
		},
		trySpend() {
			if (saved < 1) {
				return false;
			}

			saved--;
			return true;
		},
	};
};
