/**
Baseline admission policy that refuses nothing.
*/
import {ok} from 'neverthrow';
import type {AdmissionDecision} from './admission-decision.js';

/** Admits every call to the queue. */
export const admitCall: AdmissionDecision = () => ok(undefined);
