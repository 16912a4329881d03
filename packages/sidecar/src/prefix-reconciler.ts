/**
Removes from the upstream's memory the prefixes of programs that have ended.
*/
import type {Epoch} from '@siskinhub/core/ids/epoch.js';
import type {ProgramId} from '@siskinhub/core/ids/program-id.js';

type HeldPrefixes = {
	readonly heldTokens: bigint;
	readonly heldPrefixes: number;
};

/** Releases prefixes on an owner's order, and periodically those of programs that no owner reports as open. */
export type PrefixReconciler = {
	/** Releases a prefix on an owner's order, with retries until the upstream no longer holds it. */
	readonly release: (program: ProgramId, epoch: Epoch) => void;
	/** Returns size, in tokens, and number of the prefixes that the upstream last listed; zeros before its first list. */
	readonly getHeldPrefixes: () => HeldPrefixes;
	readonly stop: () => void;
};
