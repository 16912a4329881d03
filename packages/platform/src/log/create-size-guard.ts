/**
Keeps a log's state small enough for the value of the snapshot's key. Because
measuring means serializing the whole state, it is measured only when the items
folded since the last measurement could have made it too large.
*/
import {Buffer} from 'node:buffer';

// More than 1 because a fold may store metadata of its own with each item.
const MAX_STATE_GROWTH_PER_ITEM_BYTE = 4;

type SizeGuard<State> = {
	/** Measures the current state, for example after the log was read. */
	readonly measureState: (state: State) => void;
	/** Counts items that other writers have added, by their length as JSON. */
	readonly addItemBytes: (bytes: number) => void;
	/** Returns whether an item may be appended, and counts it if so: the state after it must fit, or be no larger than the state before. */
	readonly canAppend: (before: State, after: State, itemBytes: number) => boolean;
};

const measureJson = (value: unknown) => Buffer.byteLength(JSON.stringify(value));

/** Creates a guard for states of at most `maxBytes` as UTF-8 JSON. */
export const createSizeGuard = <State>(maxBytes: number): SizeGuard<State> => {
	// Upper bound of the state's size, from the last measurement and the items since.
	let maxPossibleBytes = 0;

	return {
		measureState(state) {
			maxPossibleBytes = measureJson(state);
		},
		addItemBytes(bytes) {
			maxPossibleBytes += MAX_STATE_GROWTH_PER_ITEM_BYTE * bytes;
		},
		canAppend(before, after, itemBytes) {
			maxPossibleBytes += MAX_STATE_GROWTH_PER_ITEM_BYTE * itemBytes;
			if (maxPossibleBytes <= maxBytes) {
				return true;
			}

			const beforeBytes = measureJson(before);
			const afterBytes = measureJson(after);
			const isAdmitted = afterBytes <= maxBytes || afterBytes <= beforeBytes;
			maxPossibleBytes = isAdmitted ? afterBytes : beforeBytes;
			return isAdmitted;
		},
	};
};
