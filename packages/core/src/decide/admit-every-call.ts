/**
Baseline admission policy that refuses nothing.
*/
import {ok} from 'neverthrow';
import type {AdmissionPolicy} from './admission-policy.js';

/** Admits every call to the queue. */
export const admitEveryCall: AdmissionPolicy = () => ok(undefined);
