/**
An append that waits for its commit. It settles once, at its deadline at the
latest.
*/
import {err, type Result} from 'neverthrow';
import type {AppendError} from './append-error.js';

type PendingAppend<Item, Rejection> = {
	readonly item: Item;
	/** Length of the item as JSON in UTF-8. */
	readonly bytes: number;
	readonly result: Promise<Result<{readonly index: number}, AppendError<Rejection>>>;
	readonly settle: (result: Result<{readonly index: number}, AppendError<Rejection>>) => void;
	readonly isSettled: () => boolean;
	/** Says whether a write that contains the item is on its way; decides what the deadline answers. */
	readonly setInDoubt: (inDoubt: boolean) => void;
	/** Answers before the deadline as the deadline would. */
	readonly expire: () => void;
};

/** Starts the deadline. */
export const createPendingAppend = <Item, Rejection>(item: Item, bytes: number, timeoutMs: number): PendingAppend<Item, Rejection> => {
	let isSettled = false;
	let isInDoubt = false;
	let resolve: (result: Result<{readonly index: number}, AppendError<Rejection>>) => void;
	const result = new Promise<Result<{readonly index: number}, AppendError<Rejection>>>(_resolve => {
		resolve = _resolve;
	});

	const settle = (outcome: Result<{readonly index: number}, AppendError<Rejection>>) => {
		isSettled = true;
		clearTimeout(timer);
		resolve(outcome);
	};

	const expire = () => {
		settle(err({
			kind: 'unavailable',
			message: 'The platform\'s service did not answer in time; try again when it does.',
			fate: isInDoubt ? 'unknown' : 'not-written',
		}));
	};

	const timer = setTimeout(expire, timeoutMs);

	return {
		item,
		bytes,
		result,
		settle,
		isSettled: () => isSettled,
		setInDoubt(inDoubt) {
			isInDoubt = inDoubt;
		},
		expire,
	};
};
