/**
Programs that take turns; a call goes to one that is idle.
*/
import type {LoadClient} from './load-client.js';
import {drawText} from './draw-text.js';

type IdleProgram = {readonly program: string; readonly turn: number};
type Target = Parameters<LoadClient['call']>[0]['target'];

type CallPlan = {readonly target: Target; readonly idempotent: boolean; readonly outputTokens: number; readonly inputBytes: number};

/** After this many turns a program makes room for a new one, so that histories stay short. */
const MOST_TURNS = 10;

/** Calls on as many programs as the calls need. */
type ProgramPool = {
	/** Starts programs ahead of the calls. */
	readonly prepare: (count: number) => Promise<void>;
	readonly call: (plan: CallPlan) => Promise<void>;
	readonly size: () => number;
};

const texts = new Map<number, string>();

const textOf = (bytes: number): string => {
	const text = texts.get(bytes) ?? drawText(bytes);
	texts.set(bytes, text);
	return text;
};

const buildInput = ({target, inputBytes}: CallPlan): unknown => {
	const content = textOf(inputBytes);
	return 'model' in target ? [{role: 'user', content}] : {content};
};

/** Creates an empty pool. */
export const createProgramPool = (client: LoadClient): ProgramPool => {
	const idle: IdleProgram[] = [];
	let size = 0;

	const start = async (): Promise<IdleProgram> => {
		size++;
		return {program: await client.startProgram(), turn: 1};
	};

	return {
		async prepare(count) {
			await Promise.all(Array.from({length: Math.max(0, count - idle.length)}, async () => {
				idle.push(await start());
			}));
		},
		async call(plan) {
			const {program, turn} = idle.shift() ?? await start();
			await client.call({
				program, turn, target: plan.target, idempotent: plan.idempotent, input: buildInput(plan), outputTokens: plan.outputTokens,
			});
			if (turn < MOST_TURNS) {
				idle.push({program, turn: turn + 1});
			}
		},
		size: () => size,
	};
};
