/**
Keeps the upstream's memory free of prefixes that nobody will use.
*/
import type {Epoch} from '@siskinhub/core/ids/epoch.js';
import type {ProgramId} from '@siskinhub/core/ids/program-id.js';

type HeldPrefixes = {
	readonly heldTokens: bigint;
	readonly heldPrefixes: number;
};

/** Releases prefixes on orders of owners, and at a slow beat those of programs that nobody knows to be open. */
export type PrefixKeeper = {
	/** Notes an owner's order; the release is tried again until the upstream holds the prefix no more. */
	readonly release: (program: ProgramId, epoch: Epoch) => void;
	readonly describeHeld: () => HeldPrefixes;
	readonly stop: () => void;
};
