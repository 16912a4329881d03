/**
Tracks one append from its call to its result. It is settled when its batch is
committed or refused, and at its deadline at the latest.
*/
import {err, type Result} from 'neverthrow';
import type {AppendError} from './append-error.js';

type PendingAppend<Item, Rejection> = {
	readonly item: Item;
	/** Length of the item as UTF-8 JSON, in bytes. */
	readonly bytes: number;
	readonly result: Promise<Result<{readonly index: number}, AppendError<Rejection>>>;
	readonly settle: (result: Result<{readonly index: number}, AppendError<Rejection>>) => void;
	readonly isSettled: () => boolean;
	/** Sets whether a write that contains the item is in flight. If it is at the deadline, the append fails with the fate `unknown`, otherwise with `not-written`. */
	readonly setInDoubt: (inDoubt: boolean) => void;
	/** Settles the append at once, with the same error as at its deadline. */
	readonly expire: () => void;
};

/** Creates the append and starts its timer of `timeoutMs`. */
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
