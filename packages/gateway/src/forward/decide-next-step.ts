/**
Decides what follows an attempt: another upstream, or the caller's final answer.

The one place for two promises: a request runs on no more upstreams than its
route allows, and a caller is told "not run" only where nothing has run and
nothing will.
*/
import type {Route} from '../routes/route.js';
import type {AttemptEnd} from './attempt-end.js';

/** Refused sends that one request may collect before its caller is refused. */
const MAX_REFUSALS = 4;

type CallState = {
	/** Upstreams that may have run the request, the last one too. */
	readonly runs: number;
	/** Sends that certainly did not run. */
	readonly refusals: number;
};

type NextStep =
	| {readonly kind: 'retry'}
	/** `hasRun`: it may have, so that no status may be used that promises otherwise. */
	| {readonly kind: 'answer'; readonly status: number; readonly isRefusal: boolean}
	| {readonly kind: 'break-off'}
	| {readonly kind: 'none'};

const mayRunAgain = ({kind, isResumable, maxRuns}: Route, {runs}: CallState): boolean =>
	(kind === 'idempotent' || (kind === 'stream' && isResumable)) && runs < maxRuns;

/** The step after an attempt that ended with `end`. */
export const decideNextStep = (route: Route, state: CallState, end: AttemptEnd): NextStep => {
	switch (end.kind) {
		case 'done':
		case 'gone': {
			return {kind: 'none'};
		}

		case 'not-run': {
			if (state.refusals < MAX_REFUSALS) {
				return {kind: 'retry'};
			}

			return state.runs === 0 ? {kind: 'answer', status: 503, isRefusal: true} : {kind: 'answer', status: 502, isRefusal: false};
		}

		case 'unknown':
		case 'failed': {
			return mayRunAgain(route, state) ? {kind: 'retry'} : {kind: 'answer', status: 502, isRefusal: false};
		}

		case 'broken': {
			return route.kind === 'stream' && mayRunAgain(route, state) ? {kind: 'retry'} : {kind: 'break-off'};
		}

		case 'timed-out': {
			return state.runs === 0 && !end.wasSent ? {kind: 'answer', status: 503, isRefusal: true} : {kind: 'answer', status: 504, isRefusal: false};
		}
	}
};
