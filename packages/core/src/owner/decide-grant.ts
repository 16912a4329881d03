/**
Decides whether a call may take the next turn of its program.

A repeated request id is matched before all other checks, so that a retry is
never refused by a check that the first copy of the request has passed.
*/
import type {Refusal} from '../refusal/refusal.js';
import type {RefusalCode} from '../refusal/refusal-code.js';
import type {ClosedFate} from './closed-fate.js';
import type {GrantDecision} from './grant-decision.js';
import type {GrantQuery} from './grant-query.js';
import type {OpenProgram} from './open-program.js';

const RETRY_AFTER_MS = 1000;

const refuse = (code: RefusalCode, message: string): GrantDecision => ({kind: 'refuse', refusal: {code, message}});

const FATE_MESSAGES: Readonly<Record<ClosedFate, string>> = {
	'not-run': 'This request did not run and never will; send the call again under a new request id.',
	'outcome-unknown': 'Whether this request ran cannot be established; check the effect before you send it under a new request id.',
	cancelled: 'This request was cancelled; send the call again under a new request id if it is still wanted.',
};

const createOutOfOrderRefusal = (message: string): Refusal => ({code: 'out-of-order', message, retryAfterMs: RETRY_AFTER_MS});

const matchKnownRequest = (program: OpenProgram, query: GrantQuery): GrantDecision | undefined => {
	const storedTurn = program.storedTurns.get(query.requestId);
	if (storedTurn !== undefined) {
		return storedTurn === query.turn
			? {kind: 'recorded', turn: storedTurn}
			: refuse('bad-request', `Request id ${query.requestId} belongs to turn ${storedTurn}; use a new request id for another turn.`);
	}

	const fate = program.closed.get(query.requestId);
	if (fate) {
		return refuse(fate, FATE_MESSAGES[fate]);
	}

	const {current} = program;
	if (current?.requestId !== query.requestId) {
		return undefined;
	}

	if (current.turn !== query.turn) {
		return refuse('bad-request', `Request id ${query.requestId} belongs to turn ${current.turn}; use a new request id for another turn.`);
	}

	return current.state === 'claiming'
		? {kind: 'wait', refusalAtDeadline: {code: 'unavailable', message: 'The first copy of this request is still being recorded; send the same request again.', retryAfterMs: RETRY_AFTER_MS}}
		: {kind: 'attach', call: current};
};

const checkTurn = (program: OpenProgram, query: GrantQuery): GrantDecision => {
	const {nextTurn} = program;
	if (query.turn < nextTurn) {
		return refuse('out-of-order', `Turn ${query.turn} is taken by another request; the next turn is ${nextTurn}.`);
	}

	if (query.turn > nextTurn) {
		return {kind: 'wait', refusalAtDeadline: createOutOfOrderRefusal(`Turn ${nextTurn} did not end before the deadline; send it before turn ${query.turn}.`)};
	}

	if (program.current) {
		return {kind: 'wait', refusalAtDeadline: createOutOfOrderRefusal(`Another request holds turn ${nextTurn} and did not end before the deadline.`)};
	}

	if (query.after !== '' && query.after !== program.digest) {
		return refuse('history-mismatch', `The program's history has digest ${program.digest || '(none)'}; read it again before you go on.`);
	}

	return {kind: 'go'};
};

/** Decides from the program's state alone. The caller checks limits and budgets after a `go`. */
export const decideGrant = (program: OpenProgram, query: GrantQuery): GrantDecision => {
	if (program.header.workspace !== query.workspace) {
		return refuse('wrong-workspace', 'The program belongs to another workspace.');
	}

	const known = matchKnownRequest(program, query);
	if (known) {
		return known;
	}

	if (program.ended) {
		return refuse('program-ended', 'The program has ended; start a new one.');
	}

	return checkTurn(program, query);
};
