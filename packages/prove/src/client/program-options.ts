/**
Describes how one program of a proof behaves.
*/
import type {Random} from '@siskinhub/core/decide/random.js';
import type {EntryClient} from './entry-client.js';

/** Each program has a random source of its own, so that one program's choices do not depend on the timing of others. */
export type ProgramOptions = {
	readonly client: EntryClient;
	readonly entries: ReadonlyArray<{readonly name: string; readonly address: string}>;
	readonly random: Random;
	/** Short name, part of every mark. */
	readonly alias: string;
	readonly turns: number;
	/** No new turn begins after this time, and no attempt after `giveUpAt`; milliseconds since the Unix epoch. */
	readonly until: number;
	readonly giveUpAt: number;
	/** Number of turns that are sent concurrently, each through a randomly picked entry. */
	readonly pipeline?: number;
	/** Share of the calls that go to a plain service. */
	readonly serviceShare?: number;
	/** Share of the model calls that are non-idempotent. */
	readonly nonIdempotentShare?: number;
	/** Shortest and longest deadline of a call, in milliseconds. */
	readonly deadlineMs?: readonly [number, number];
	/** Text that is added to every input. */
	readonly extraText?: string;
	/** The whole text of every input, equal for all requests. */
	readonly fixedText?: string;
	/** Id of the parent program, for a sub-agent. */
	readonly parent?: string;
	/** Number of sub-agents that the program starts after its first turn and waits for. */
	readonly subAgents?: number;
	/** Whether the program is ended after its last turn. */
	readonly shouldEndProgram?: boolean;
};
