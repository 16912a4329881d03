/**
What one process tells another about crashes.
*/
import type {AnsweredRequest} from './answered-request.js';
import type {Crash} from './crash.js';

export type CrashReport = {
	readonly crashes: readonly Crash[];
	readonly answered: readonly AnsweredRequest[];
};
