/**
Selects the appends that go into the next entry of a log.
*/
import {err, ok} from 'neverthrow';
import type {createPendingAppend} from './create-pending-append.js';
import type {createSizeGuard} from './create-size-guard.js';
import type {LogOptions} from './log-options.js';

type PendingAppend<Item, Rejection> = ReturnType<typeof createPendingAppend<Item, Rejection>>;

type Batch<Item, Rejection> = {
	readonly appends: ReadonlyArray<PendingAppend<Item, Rejection>>;
	/** The items to write, as returned by `prepare`; in the order of `appends`. */
	readonly items: readonly Item[];
};

type SelectOptions<Item, State, Rejection> = Pick<LogOptions<Item, State, Rejection>, 'fold' | 'prepare'> & {
	readonly state: State;
	readonly index: number;
	readonly sizeGuard: ReturnType<typeof createSizeGuard<State>>;
};

/** Validates each item against the state that results from the items before it. Appends that are refused are settled with an error and left out. */
export const selectBatch = <Item, State, Rejection>(
	candidates: ReadonlyArray<PendingAppend<Item, Rejection>>,
	{fold, prepare, state: stateBefore, index, sizeGuard}: SelectOptions<Item, State, Rejection>,
): Batch<Item, Rejection> => {
	const appends: Array<PendingAppend<Item, Rejection>> = [];
	const items: Item[] = [];
	let state = stateBefore;
	for (const candidate of candidates) {
		if (candidate.isSettled()) {
			continue;
		}

		const prepared = prepare ? prepare(candidate.item, state) : ok(candidate.item);
		if (prepared.isErr()) {
			candidate.settle(err({kind: 'rejected', rejection: prepared.error}));
			continue;
		}

		const after = fold(state, prepared.value, index);
		if (!sizeGuard.canAppend(state, after, candidate.bytes)) {
			candidate.settle(err({kind: 'too-large', message: 'The log\'s state has reached the size that its snapshot may hold.'}));
			continue;
		}

		state = after;
		appends.push(candidate);
		items.push(prepared.value);
	}

	return {appends, items};
};
