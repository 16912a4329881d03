/**
The programs that a shard's owner has in memory.
*/
import type {Result} from 'neverthrow';
import type {ProgramHeader} from '@siskinhub/core/history/program-header.js';
import type {ProgramId} from '@siskinhub/core/ids/program-id.js';
import type {OpenProgram} from '@siskinhub/core/owner/open-program.js';
import type {Refusal} from '@siskinhub/core/refusal/refusal.js';

/** Finds programs, reading them from the history holders on first use. */
export type ProgramBook = {
	/** Fails with `unknown-program`, or with `unavailable` while too few holders answer. */
	readonly find: (id: ProgramId) => Promise<Result<OpenProgram, Refusal>>;
	readonly add: (header: ProgramHeader) => OpenProgram;
	readonly peek: (id: ProgramId) => OpenProgram | undefined;
	readonly all: () => Iterable<OpenProgram>;
	/** Removes an ended program from memory; it is read again if somebody asks. */
	readonly forget: (id: ProgramId) => void;
	/** The next programs in turn, at most `count`, starting over at the end. */
	readonly nextSlice: (count: number) => readonly OpenProgram[];
	readonly size: () => number;
	/** Wakes those that wait for a change of the program. */
	readonly signal: (id: ProgramId) => void;
	/** Resolves at the next signal or after `timeoutMs`. */
	readonly waitForChange: (id: ProgramId, timeoutMs: number) => Promise<void>;
};
