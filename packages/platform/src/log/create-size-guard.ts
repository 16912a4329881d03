/**
Keeps a log's state below what its snapshot's key can hold. The state is
measured only when the items folded since the last measurement could have made
it too large.
*/
import {Buffer} from 'node:buffer';

// A fold may keep an item together with bookkeeping of its own.
const GROWTH_PER_ITEM_BYTE = 4;

type SizeGuard<State> = {
	/** Measures a state that was read or stored. */
	readonly measure: (state: State) => void;
	/** Notes items of other writers. */
	readonly add: (bytes: number) => void;
	/** Whether an item may be appended: the state after it fits, or is no larger than before. */
	readonly admits: (before: State, after: State, itemBytes: number) => boolean;
};

const measureJson = (value: unknown) => Buffer.byteLength(JSON.stringify(value));

/** Creates a guard for states of at most `maxBytes` as JSON in UTF-8. */
export const createSizeGuard = <State>(maxBytes: number): SizeGuard<State> => {
	let bound = 0;

	return {
		measure(state) {
			bound = measureJson(state);
		},
		add(bytes) {
			bound += GROWTH_PER_ITEM_BYTE * bytes;
		},
		admits(before, after, itemBytes) {
			bound += GROWTH_PER_ITEM_BYTE * itemBytes;
			if (bound <= maxBytes) {
				return true;
			}

			const beforeBytes = measureJson(before);
			const afterBytes = measureJson(after);
			const isAdmitted = afterBytes <= maxBytes || afterBytes <= beforeBytes;
			bound = isAdmitted ? afterBytes : beforeBytes;
			return isAdmitted;
		},
	};
};
