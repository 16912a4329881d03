/**
Reads the history of every program after a run.
*/
import {setTimeout as sleep} from 'node:timers/promises';
import type {Operation} from '../history/operation.js';
import type {ProofContext} from './proof-context.js';

const MAX_RETRIES = 20;
const RETRY_DELAY_MS = 500;

/** Asks the entries in turn; resolves with the first successful read, or with the last failed one. */
const readProgramHistory = async ({client, cluster}: ProofContext, program: string, alias: string): Promise<Operation> => {
	for (let attempt = 0; ; attempt++) {
		const entry = cluster.entries[attempt % cluster.entries.length]!;
		const operation = await client.readHistory(entry, program, alias);
		if (operation.outcome?.kind === 'done' || attempt === MAX_RETRIES) {
			return operation;
		}

		await sleep(RETRY_DELAY_MS);
	}
};

/** Programs without an id are skipped. Resolves with the programs whose history could not be read. */
export const readAllHistories = async (context: ProofContext, programs: ReadonlyArray<{readonly alias: string; readonly program?: string}>): Promise<string[]> => {
	const reads = await Promise.all(programs.map(async ({alias, program}) => program === undefined ? undefined : readProgramHistory(context, program, alias)));
	return reads.filter(operation => operation !== undefined && operation.outcome?.kind !== 'done').map(operation => operation?.program ?? '');
};
