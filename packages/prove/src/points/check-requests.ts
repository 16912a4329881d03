/**
Runs the checks that every recorded run of programs must pass, whichever point
it belongs to.
*/
import {checkAtMostOnce} from '../checkers/check-at-most-once.js';
import {checkHistory} from '../checkers/check-history.js';
import {checkNotRun} from '../checkers/check-not-run.js';
import {checkOrder} from '../checkers/check-order.js';
import {checkWholeAnswer} from '../checkers/check-whole-answer.js';
import type {RecordedRun} from '../history/recorded-run.js';
import type {Violation} from '../history/violation.js';

const CHECKERS = {
	'at-most-once': checkAtMostOnce,
	'not-run': checkNotRun,
	order: checkOrder,
	history: checkHistory,
	'whole-answer': checkWholeAnswer,
};

/** Prefixes each message with the name of its check. */
export const checkRequests = (run: RecordedRun): Violation[] => Object.entries(CHECKERS)
	.flatMap(([name, check]) => check(run).map(violation => ({...violation, message: `${name}: ${violation.message}`})));
