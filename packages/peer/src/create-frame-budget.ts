/**
The memory that the frames of all links may take together: those that have not come
whole, or those that have not been sent.

Past it, the link with the most of it is closed, so that a few that announce large
frames and never end them, or do not read, do not cost the others theirs.
*/

type FrameBudget = {
	/** Records that a link holds `bytes`; `close` identifies it and closes it. Closes as many links as needed, the largest holder first. */
	readonly hold: (close: () => void, bytes: number) => void;
};

export const createFrameBudget = (maxBytes: number): FrameBudget => {
	const holders = new Map<() => void, number>();
	let sum = 0;

	const set = (close: () => void, bytes: number): void => {
		sum += bytes - (holders.get(close) ?? 0);
		if (bytes === 0) {
			holders.delete(close);
		} else {
			holders.set(close, bytes);
		}
	};

	return {
		hold(close, bytes) {
			set(close, bytes);
			if (sum <= maxBytes) {
				return;
			}

			for (const [holder] of [...holders].toSorted(([, a], [, b]) => b - a)) {
				set(holder, 0);
				holder();
				if (sum <= maxBytes) {
					return;
				}
			}
		},
	};
};
