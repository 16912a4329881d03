/**
The programs that a shard's owner has in memory.
*/
import type {Result} from 'neverthrow';
import type {ProgramHeader} from '@siskinhub/core/history/program-header.js';
import type {ProgramId} from '@siskinhub/core/ids/program-id.js';
import type {OpenProgram} from '@siskinhub/core/owner/open-program.js';
import type {Refusal} from '@siskinhub/core/refusal/refusal.js';

/** Finds programs, reading them from the history holders on first use. */
export type ProgramRegistry = {
	/** Fails with `unknown-program`, or with `unavailable` while too few holders answer. */
	readonly find: (id: ProgramId) => Promise<Result<OpenProgram, Refusal>>;
	readonly add: (header: ProgramHeader) => OpenProgram;
	/** Returns the program only if it is in memory. */
	readonly peek: (id: ProgramId) => OpenProgram | undefined;
	readonly all: () => Iterable<OpenProgram>;
	/** Removes an ended program from memory; `find` reads it again. */
	readonly forget: (id: ProgramId) => void;
	/** Returns the next programs, at most `count`; starts over after the last one. */
	readonly nextBatch: (count: number) => readonly OpenProgram[];
	readonly size: () => number;
	/** Wakes all callers that wait for a change of the program. */
	readonly signal: (id: ProgramId) => void;
	/** Resolves at the next signal or after `timeoutMs`. */
	readonly waitForChange: (id: ProgramId, timeoutMs: number) => Promise<void>;
};
