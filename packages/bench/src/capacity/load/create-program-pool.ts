/**
Creates a pool of programs for the load. Each call is the next turn of an idle
program; a new program is started if none is idle.
*/
import type {LoadClient} from './load-client.js';
import {generateText} from './generate-text.js';

type IdleProgram = {readonly program: string; readonly turn: number};
type Target = Parameters<LoadClient['call']>[0]['target'];

type CallPlan = {readonly target: Target; readonly idempotent: boolean; readonly outputTokens: number; readonly inputBytes: number};

/** A program leaves the pool after this many turns, so that histories stay short. */
const MAX_TURNS = 10;

type ProgramPool = {
	/** Starts programs until `count` are idle. */
	readonly prepare: (count: number) => Promise<void>;
	readonly call: (plan: CallPlan) => Promise<void>;
	/** Counts the programs started so far, including those that have left the pool. */
	readonly countStarted: () => number;
};

const textsByLength = new Map<number, string>();

const getText = (bytes: number): string => {
	const text = textsByLength.get(bytes) ?? generateText(bytes);
	textsByLength.set(bytes, text);
	return text;
};

const buildInput = ({target, inputBytes}: CallPlan): unknown => {
	const content = getText(inputBytes);
	return 'model' in target ? [{role: 'user', content}] : {content};
};

/** Creates an empty pool. */
export const createProgramPool = (client: LoadClient): ProgramPool => {
	const idlePrograms: IdleProgram[] = [];
	let startedCount = 0;

	const startProgram = async (): Promise<IdleProgram> => {
		startedCount++;
		return {program: await client.startProgram(), turn: 1};
	};

	return {
		async prepare(count) {
			await Promise.all(Array.from({length: Math.max(0, count - idlePrograms.length)}, async () => {
				idlePrograms.push(await startProgram());
			}));
		},
		async call(plan) {
			const {program, turn} = idlePrograms.shift() ?? await startProgram();
			await client.call({
				program, turn, target: plan.target, idempotent: plan.idempotent, input: buildInput(plan), outputTokens: plan.outputTokens,
			});
			if (turn < MAX_TURNS) {
				idlePrograms.push({program, turn: turn + 1});
			}
		},
		countStarted: () => startedCount,
	};
};
