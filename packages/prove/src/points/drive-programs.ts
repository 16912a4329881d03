/**
Runs many agent programs concurrently against the cluster.
*/
import {setTimeout as sleep} from 'node:timers/promises';
import type {ProgramOptions} from '../client/program-options.js';
import {runProgram} from '../client/run-program.js';
import type {ProofContext} from './proof-context.js';

// Clients continue after the last fault, so that interrupted calls can finish.
const SETTLE_MS = 10_000;
// Keeps a client whose programs are refused immediately from spinning.
const PAUSE_MS = 50;

type DriveOptions = {
	/** Number of clients, each of which runs one program at a time. */
	readonly programs: number;
	readonly turns: number;
} & Partial<Pick<ProgramOptions, 'pipeline' | 'serviceShare' | 'nonIdempotentShare' | 'shouldEndProgram' | 'subAgents' | 'deadlineMs'>> & {
	/** Text added to every input of a client's programs. */
	readonly getExtraText?: (client: number) => string;
	/** Whether a client ends its programs after their last turn. */
	readonly shouldClientEndPrograms?: (client: number) => boolean;
};

/** `program` is absent if the program could not be started; `answered` counts its answered turns. */
type ProgramResult = {readonly alias: string; readonly program?: string; readonly answered: number};

/** Each client runs one program after another until the time is over. */
export const drivePrograms = async (context: ProofContext, {programs, getExtraText, shouldClientEndPrograms, ...options}: DriveOptions): Promise<ProgramResult[]> => {
	const {client, cluster, seconds, createRandom} = context;
	const until = Date.now() + (seconds * 1000);
	const runClient = async (index: number): Promise<ProgramResult[]> => {
		const results: ProgramResult[] = [];
		while (Date.now() < until) {
			const alias = `c${index}-${results.length}`;
			const result = await runProgram({
				...options, extraText: getExtraText?.(index),
				...shouldClientEndPrograms && {shouldEndProgram: shouldClientEndPrograms(index)},
				client, entries: cluster.entries, random: createRandom(alias), alias, until, giveUpAt: until + SETTLE_MS,
			});
			results.push({alias, ...result});
			await sleep(PAUSE_MS);
		}

		return results;
	};

	const all = await Promise.all(Array.from({length: programs}, async (_, index) => runClient(index)));
	return all.flat();
};
