/**
How one program of a proof behaves.
*/
import type {Random} from '@siskinhub/core/decide/random.js';
import type {EntryClient} from './entry-client.js';

/** The random source belongs to this program alone, so that programs do not disturb one another's choices. */
export type ProgramOptions = {
	readonly client: EntryClient;
	readonly entries: ReadonlyArray<{readonly name: string; readonly address: string}>;
	readonly random: Random;
	/** Short name, part of every mark. */
	readonly alias: string;
	readonly turns: number;
	/** No new turn begins after this time, and no attempt after `giveUpAt`. */
	readonly until: number;
	readonly giveUpAt: number;
	/** Turns that are posted at once, each through an entry of its own. */
	readonly pipeline?: number;
	readonly serviceShare?: number;
	/** Share of the model calls that are non-idempotent. */
	readonly nonIdempotentShare?: number;
	/** Shortest and longest deadline of a call, in milliseconds. */
	readonly deadlineMs?: readonly [number, number];
	/** Text that is put into every input. */
	readonly extraText?: string;
	/** The whole text of every input, equal for all requests. */
	readonly fixedText?: string;
	readonly parent?: string;
	/** Sub-agents that the program starts after its first turn and waits for. */
	readonly subAgents?: number;
	/** Whether the program is ended after its last turn. */
	readonly shouldEndProgram?: boolean;
};
