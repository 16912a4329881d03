/**
Decides what follows an attempt: another upstream, or the caller's final answer.

The one place for two promises: a request runs on no more upstreams than its
route allows, and a caller is told "not run" only where nothing has run and
nothing will.
*/
import type {Route} from '../routes/route.js';
import type {AttemptResult} from './attempt-result.js';

/** Upstreams without room that one request is sent to before its caller is refused; one that cannot be reached says nothing of the others. */
const MAX_REFUSALS = 4;

type CallState = {
	/** Upstreams that may have run the request, the last one too. */
	readonly runs: number;
	/** Upstreams that had no room; `Infinity` once no upstream is left. */
	readonly refusals: number;
	/** The time for the request is up. */
	readonly isPastDeadline: boolean;
};

type NextStep =
	| {readonly kind: 'retry'}
	/** `isRefusal`: nothing has run and nothing will. */
	| {readonly kind: 'answer'; readonly status: number; readonly isRefusal: boolean}
	| {readonly kind: 'break-off'}
	| {readonly kind: 'none'};

const mayRunAgain = ({kind, isResumable, maxRuns}: Route, {runs, refusals, isPastDeadline: isLate}: CallState): boolean =>
	(kind === 'idempotent' || (kind === 'stream' && isResumable)) && runs < maxRuns && refusals < MAX_REFUSALS && !isLate;

/** The final answer where no other run is coming. */
const decideFinalResponse = ({runs, isPastDeadline: isLate}: CallState): NextStep => runs === 0
	? {kind: 'answer', status: 503, isRefusal: true}
	: {kind: 'answer', status: isLate ? 504 : 502, isRefusal: false};

/** The step after an attempt that ended with `end`. */
export const decideNextStep = (route: Route, state: CallState, end: AttemptResult): NextStep => {
	switch (end.kind) {
		case 'done':
		case 'gone': {
			return {kind: 'none'};
		}

		case 'not-run': {
			return state.refusals < MAX_REFUSALS && !state.isPastDeadline ? {kind: 'retry'} : decideFinalResponse(state);
		}

		case 'unknown':
		case 'failed': {
			return mayRunAgain(route, state) ? {kind: 'retry'} : decideFinalResponse(state);
		}

		case 'broken': {
			return route.kind === 'stream' && mayRunAgain(route, state) ? {kind: 'retry'} : {kind: 'break-off'};
		}

		case 'timed-out': {
			return decideFinalResponse({...state, runs: end.wasSent ? state.runs : state.runs - 1, isPastDeadline: true});
		}
	}
};
