/**
Tells in sentences what a call's line in the log says.
*/
import type {LogEntry} from './log-entry.js';
import {showField} from './show-field.js';

const MEANINGS: Readonly<Record<string, string>> = {
	done: 'the upstream\'s answer was passed on',
	refused: 'not run: every upstream that was asked refused it or could not be reached, or none is listed',
	unavailable: 'not run: too few copy holders answered; look at the holders\' logs of the same second',
	'over-budget': 'not run: the program\'s budget does not hold the turn\'s most tokens',
	'unknown-turn': 'not run: the turn that it goes on from never was',
	'no-routes': 'not run: the process had read no routes yet',
	'no-route': 'not run: no declared route matches its host and path',
	failed: 'the upstream failed, or the time for the request was up; it may have run',
	broken: 'it ran and broke off after a part had been passed on',
	gone: 'its caller left before the end',
};

/** One sentence a line. */
export const explainCall = ({host, fields}: LogEntry): readonly string[] => {
	const {outcome, status, durationMs, firstEventMs, trail, previousTurn, version, route, service} = fields;
	const sentences = [
		`${host} took the request; ${MEANINGS[showField(outcome)] ?? showField(outcome)}.`,
		`Status ${showField(status)} after ${showField(durationMs)} ms${firstEventMs === undefined ? '' : `, the first event after ${showField(firstEventMs)} ms`}.`,
	];
	if (route !== undefined) {
		sentences.push(`Route ${showField(route)} to service ${showField(service)}, by version ${showField(version)} of the declared routes.`);
	}

	if (previousTurn !== undefined) {
		sentences.push(`It goes on from turn ${showField(previousTurn)}.`);
	}

	if (Array.isArray(trail)) {
		sentences.push(...trail.map((attempt, index) => `Attempt ${index + 1}: upstream ${showField(attempt)}.`));
	}

	return sentences;
};
