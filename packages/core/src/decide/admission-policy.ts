/**
The signature of admission policies, baselines included.
*/
import type {Result} from 'neverthrow';
import type {Refusal} from '../refusal/refusal.js';
import type {AdmissionView} from './admission-view.js';

/** Admits a call to the queue, or refuses it before any of it has run. */
export type AdmissionPolicy = (call: AdmissionView) => Result<undefined, Refusal>;
