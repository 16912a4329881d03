/**
Explains the log line of a call in sentences.
*/
import type {LogLine} from './log-line.js';
import {formatField} from './format-field.js';

const OUTCOME_MEANINGS: Readonly<Record<string, string>> = {
	done: 'the upstream\'s answer was forwarded',
	refused: 'not run: every upstream that was asked refused it or could not be reached, or no upstream is listed',
	unavailable: 'not run: too few copy holders answered; look at the holders\' logs of the same second',
	'over-budget': 'not run: the program\'s budget does not cover the maximum number of tokens of the turn',
	'unknown-turn': 'not run: the turn that it continues never existed',
	'no-routes': 'not run: the process had not read any routes yet',
	'no-route': 'not run: no declared route matches its host and path',
	failed: 'the upstream failed, or the request timed out; it may have run',
	broken: 'it ran, and the answer broke off after part of it had been forwarded',
	gone: 'the caller disconnected before the end',
};

/** Returns one sentence per element. */
export const explainCall = ({host, fields}: LogLine): readonly string[] => {
	const {outcome, status, durationMs, firstEventMs, trail, previousTurn, version, route, service} = fields;
	const sentences = [
		`${host} took the request; ${OUTCOME_MEANINGS[formatField(outcome)] ?? formatField(outcome)}.`,
		`Status ${formatField(status)} after ${formatField(durationMs)} ms${firstEventMs === undefined ? '' : `, the first event after ${formatField(firstEventMs)} ms`}.`,
	];
	if (route !== undefined) {
		sentences.push(`Route ${formatField(route)} to service ${formatField(service)}, by version ${formatField(version)} of the declared routes.`);
	}

	if (previousTurn !== undefined) {
		sentences.push(`It continues turn ${formatField(previousTurn)}.`);
	}

	if (Array.isArray(trail)) {
		sentences.push(...trail.map((attempt, index) => `Attempt ${index + 1}: upstream ${formatField(attempt)}.`));
	}

	return sentences;
};
