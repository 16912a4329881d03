/**
Runs many programs at the same time.
*/
import {setTimeout as sleep} from 'node:timers/promises';
import type {ProgramOptions} from '../client/program-options.js';
import {runProgram} from '../client/run-program.js';
import type {ProofContext} from './proof-context.js';

// Clients go on after the last fault, so that what was interrupted can finish.
const SETTLE_MS = 10_000;
// A client whose programs are refused at once does not spin.
const PAUSE_MS = 50;

type DriveOptions = {
	/** Programs at any one time. */
	readonly programs: number;
	readonly turns: number;
} & Partial<Pick<ProgramOptions, 'pipeline' | 'serviceShare' | 'nonIdempotentShare' | 'shouldEndProgram' | 'subAgents' | 'deadlineMs'>> & {
	/** Text for every input of a client's programs. */
	readonly getExtraText?: (client: number) => string;
	/** Whether a client ends its programs after their last turn. */
	readonly shouldClientEndPrograms?: (client: number) => boolean;
};

/** A program of one of the clients. */
type ProgramResult = {readonly alias: string; readonly program?: string; readonly answered: number};

/** Each client runs one program after the other until the time is over. */
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
