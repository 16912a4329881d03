/**
What a process that passes turns on needs of the copies.
*/
import type {KeptTurn} from '@siskinhub/proto/gen/siskinhub/peer/v1/peer_pb.js';

type Attempt = {
	readonly program: string;
	/** Id of this attempt of the turn. */
	readonly attempt: string;
	readonly tokens: number;
	/** Milliseconds for which the program's turns and uses are kept. */
	readonly retentionMs: number;
};

/** Reserves tokens before a turn runs, finds the turns it goes on from, and stores its end. Times are in milliseconds. */
export type TurnKeeper = {
	/** `spent`: ended turns have used too much, so nothing was reserved. `over-budget`: it was, and is to be settled. `unavailable`: too few holders answered, so they may or may not be. */
	readonly reserve: (attempt: Attempt & {readonly budget: number}, timeoutMs: number) => Promise<'reserved' | 'spent' | 'over-budget' | 'unavailable'>;
	/** The chain up to `turn`, oldest first; `unknown` only where no holder can have it. */
	readonly readTurns: (program: string, turn: string, timeoutMs: number) => Promise<{readonly kind: 'found'; readonly turns: readonly KeptTurn[]} | {readonly kind: 'unknown' | 'unavailable'}>;
	/** Whether a write quorum has the end of the attempt, and the turn where there is one, on disk. */
	readonly settle: (attempt: Attempt, turn: {readonly previous: string; readonly input: Uint8Array; readonly output: Uint8Array} | undefined, timeoutMs: number) => Promise<boolean>;
	/** Whether a write quorum of holders can be reached now. */
	readonly isReady: () => boolean;
	/** Milliseconds for which a turn that begins would have waited in vain for such a quorum; 0 while it may find one. */
	readonly cutOffForMs: () => number;
};
