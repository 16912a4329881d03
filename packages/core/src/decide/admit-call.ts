/**
Baseline: every call joins the queue.
*/
import {ok} from 'neverthrow';
import type {AdmissionDecision} from './admission-decision.js';

/** Refuses nothing. */
export const admitCall: AdmissionDecision = () => ok(undefined);
