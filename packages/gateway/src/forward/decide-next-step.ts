/**
Decides what follows an attempt: a retry at another upstream, or the final
response to the caller.

Two guarantees are enforced here and nowhere else: a request runs on no more
upstreams than its route allows, and a caller is told "not run" only if the
request has not run anywhere and will not.
*/
import {isRepeatable} from '../routes/is-repeatable.js';
import type {Route} from '../routes/route.js';
import type {AttemptResult} from './attempt-result.js';

/** A request is refused after this many upstreams without capacity. Unreachable upstreams don't count, as they tell nothing about the others. */
const MAX_REFUSALS = 4;

type CallState = {
	/** Upstreams that may have run the request, including the last one. */
	readonly runs: number;
	/** Upstreams that had no capacity; `Infinity` once no upstream is left. */
	readonly refusals: number;
	readonly isPastDeadline: boolean;
};

type NextStep =
	| {readonly kind: 'retry'}
	/** `isRefusal`: the request has not run and will not. */
	| {readonly kind: 'answer'; readonly status: number; readonly isRefusal: boolean}
	| {readonly kind: 'break-off'}
	| {readonly kind: 'none'};

const mayRunAgain = (route: Route, {runs, refusals, isPastDeadline}: CallState): boolean =>
	isRepeatable(route) && runs < route.maxRuns && refusals < MAX_REFUSALS && !isPastDeadline;

/** The final response if the request is not retried. */
const decideFinalResponse = ({runs, isPastDeadline}: CallState): NextStep => runs === 0
	? {kind: 'answer', status: 503, isRefusal: true}
	: {kind: 'answer', status: isPastDeadline ? 504 : 502, isRefusal: false};

/** `result` is the result of the last attempt. */
export const decideNextStep = (route: Route, state: CallState, result: AttemptResult): NextStep => {
	switch (result.kind) {
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
			return route.kind === 'stream' && !result.isNoAnswer && mayRunAgain(route, state) ? {kind: 'retry'} : {kind: 'break-off'};
		}

		case 'timed-out': {
			return decideFinalResponse({...state, runs: result.wasSent ? state.runs : state.runs - 1, isPastDeadline: true});
		}
	}
};
