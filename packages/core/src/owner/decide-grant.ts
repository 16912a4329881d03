/**
Decides whether a call may take the next turn of its program.

The order of the checks matters: a repeated request id is recognised before
anything else, so that a retry never meets a limit that its first copy passed.
*/
import type {Refusal} from '../refusal/refusal.js';
import type {RefusalCode} from '../refusal/refusal-code.js';
import type {ClosedFate} from './closed-fate.js';
import type {GrantDecision} from './grant-decision.js';
import type {GrantQuestion} from './grant-question.js';
import type {OpenProgram} from './open-program.js';

const ORDER_RETRY_AFTER_MS = 1000;

const refuse = (code: RefusalCode, message: string): GrantDecision => ({kind: 'refuse', refusal: {code, message}});

const CLOSED_MESSAGES: Readonly<Record<ClosedFate, string>> = {
	'not-run': 'This request did not run and never will; send the call again under a new request id.',
	'outcome-unknown': 'Whether this request ran cannot be established; check the effect before you send it under a new request id.',
	cancelled: 'This request was cancelled; send the call again under a new request id if it is still wanted.',
};

const outOfOrder = (message: string): Refusal => ({code: 'out-of-order', message, retryAfterMs: ORDER_RETRY_AFTER_MS});

const recogniseRequest = (program: OpenProgram, question: GrantQuestion): GrantDecision | undefined => {
	const storedTurn = program.stored.get(question.requestId);
	if (storedTurn !== undefined) {
		return storedTurn === question.turn
			? {kind: 'recorded', turn: storedTurn}
			: refuse('bad-request', `Request id ${question.requestId} belongs to turn ${storedTurn}; use a new request id for another turn.`);
	}

	const fate = program.closed.get(question.requestId);
	if (fate) {
		return refuse(fate, CLOSED_MESSAGES[fate]);
	}

	const {current} = program;
	if (current?.requestId !== question.requestId) {
		return undefined;
	}

	if (current.turn !== question.turn) {
		return refuse('bad-request', `Request id ${question.requestId} belongs to turn ${current.turn}; use a new request id for another turn.`);
	}

	return current.state === 'claiming'
		? {kind: 'wait', refusalAtDeadline: {code: 'unavailable', message: 'The first copy of this request is still being recorded; send the same request again.', retryAfterMs: ORDER_RETRY_AFTER_MS}}
		: {kind: 'attach', call: current};
};

const checkTurn = (program: OpenProgram, question: GrantQuestion): GrantDecision => {
	const {nextTurn} = program;
	if (question.turn < nextTurn) {
		return refuse('out-of-order', `Turn ${question.turn} is taken by another request; the next turn is ${nextTurn}.`);
	}

	if (question.turn > nextTurn) {
		return {kind: 'wait', refusalAtDeadline: outOfOrder(`Turn ${nextTurn} did not end before the deadline; send it before turn ${question.turn}.`)};
	}

	if (program.current) {
		return {kind: 'wait', refusalAtDeadline: outOfOrder(`Another request holds turn ${nextTurn} and did not end before the deadline.`)};
	}

	if (question.after !== '' && question.after !== program.digest) {
		return refuse('history-mismatch', `The program's history has digest ${program.digest || '(none)'}; read it again before you go on.`);
	}

	return {kind: 'go'};
};

/** Decides from the program's state alone; limits and budgets are checked after a `go`. */
export const decideGrant = (program: OpenProgram, question: GrantQuestion): GrantDecision => {
	if (program.header.workspace !== question.workspace) {
		return refuse('wrong-workspace', 'The program belongs to another workspace.');
	}

	const recognised = recogniseRequest(program, question);
	if (recognised) {
		return recognised;
	}

	if (program.ended) {
		return refuse('program-ended', 'The program has ended; start a new one.');
	}

	return checkTurn(program, question);
};
