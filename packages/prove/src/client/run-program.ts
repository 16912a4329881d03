/**
Runs one agent program of a proof: a sequence of calls through randomly picked
entries, each of which is retried until its outcome is known.
*/
import {setTimeout as sleep} from 'node:timers/promises';
import {buildCall} from './build-call.js';
import {pick} from './pick.js';
import type {ProgramOptions} from './program-options.js';
import {settleRequest} from './settle-request.js';

const RETRY_DELAY_MS = 150;
const SERVICE_SHARE = 0.3;
const NON_IDEMPOTENT_MODEL_SHARE = 0.3;
const HISTORY_SHARE = 0.2;
const MIN_TOKENS = 8;
const TOKENS_SPREAD = 60;

/** Refusals after which the turn is retried with a new request id. */
const NEW_REQUEST_CODES = new Set(['not-run', 'outcome-unknown', 'cancelled']);

const drawCallKind = ({random, serviceShare = SERVICE_SHARE, nonIdempotentShare = NON_IDEMPOTENT_MODEL_SHARE}: ProgramOptions) => {
	const service = random() < serviceShare;
	return {
		service,
		isIdempotent: !service && random() >= nonIdempotentShare,
		tokens: MIN_TOKENS + Math.floor(random() * TOKENS_SPREAD),
	};
};

/** Retries the turn until it is answered or finally refused; resolves with whether it was answered. */
const settleTurn = async (options: ProgramOptions, program: string, turn: number): Promise<boolean> => {
	const kind = drawCallKind(options);
	for (let request = 1; Date.now() < options.giveUpAt; request++) {
		const {outcome} = await settleRequest(options, buildCall(options, program, turn, request, kind));
		if (outcome?.kind !== 'refused' || !NEW_REQUEST_CODES.has(outcome.code)) {
			return outcome?.kind === 'final';
		}

		await sleep(RETRY_DELAY_MS * options.random());
	}

	return false;
};

const startProgram = async ({client, entries, random, alias, giveUpAt, parent}: ProgramOptions): Promise<string | undefined> => {
	while (Date.now() < giveUpAt) {
		const {outcome} = await client.startProgram(pick(random, entries), {kind: 'agent', deployment: 'proof', parent}, alias);
		if (outcome?.kind === 'done') {
			return (outcome.value as {program: string}).program;
		}

		await sleep(RETRY_DELAY_MS);
	}

	return undefined;
};

const runSubAgents = async (options: ProgramOptions, parent: string): Promise<void> => {
	await Promise.all(Array.from({length: options.subAgents ?? 0}, async (_, index) => runProgram({
		...options, alias: `${options.alias}s${index}`, parent, subAgents: 0, shouldEndProgram: true,
	})));
};

/** Sends batches of turns until one fails or the time is over; resolves with the number of answered turns. */
const runTurns = async (options: ProgramOptions, program: string): Promise<number> => {
	const {client, entries, random, alias, turns, until, pipeline = 1} = options;
	let answered = 0;
	for (let turn = 1; turn <= turns && Date.now() < until; turn += pipeline) {
		const batch = Array.from({length: Math.min(pipeline, turns - turn + 1)}, async (_, index) => settleTurn(options, program, turn + index));
		const results = await Promise.all(batch);
		answered += results.filter(Boolean).length;
		if (results.includes(false)) {
			break;
		}

		if (turn === 1) {
			await runSubAgents(options, program);
		}

		if (random() < HISTORY_SHARE) {
			await client.readHistory(pick(random, entries), program, alias);
		}
	}

	return answered;
};

/** Resolves with the program's id, which is absent if it could not be started, and the number of its answered turns. */
export const runProgram = async (options: ProgramOptions): Promise<{readonly program?: string; readonly answered: number}> => {
	const program = await startProgram(options);
	if (program === undefined) {
		return {answered: 0};
	}

	const answered = await runTurns(options, program);
	if (options.shouldEndProgram) {
		await options.client.endProgram(pick(options.random, options.entries), program);
	}

	return {program, answered};
};
