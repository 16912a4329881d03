/**
Chooses what the next entry contains.
*/
import {err, ok} from 'neverthrow';
import type {createPendingAppend} from './create-pending-append.js';
import type {createSizeGuard} from './create-size-guard.js';
import type {LogOptions} from './log-options.js';

type Pending<Item, Rejection> = ReturnType<typeof createPendingAppend<Item, Rejection>>;

type Batch<Item, Rejection> = {
	readonly appends: ReadonlyArray<Pending<Item, Rejection>>;
	/** What `prepare` made of the appends' items. */
	readonly items: readonly Item[];
};

type SelectOptions<Item, State, Rejection> = Pick<LogOptions<Item, State, Rejection>, 'fold' | 'prepare'> & {
	readonly state: State;
	readonly index: number;
	readonly guard: ReturnType<typeof createSizeGuard<State>>;
};

/** Prepares each item on the state that the ones before it leave, and settles those that are refused. */
export const selectBatch = <Item, State, Rejection>(
	candidates: ReadonlyArray<Pending<Item, Rejection>>,
	{fold, prepare, state: head, index, guard}: SelectOptions<Item, State, Rejection>,
): Batch<Item, Rejection> => {
	const appends: Array<Pending<Item, Rejection>> = [];
	const items: Item[] = [];
	let state = head;
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
		if (!guard.admits(state, after, candidate.bytes)) {
			candidate.settle(err({kind: 'too-large', message: 'The log\'s state has reached the size that its snapshot may hold.'}));
			continue;
		}

		state = after;
		appends.push(candidate);
		items.push(prepared.value);
	}

	return {appends, items};
};
