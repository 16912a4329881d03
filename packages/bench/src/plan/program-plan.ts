/**
A complete program with its arrival time, drawn before the run so that all
policies run the same programs.
*/
import type {RowPlan} from './row-plan.js';
import type {ProgramStep} from './program-step.js';

export type ProgramPlan = {
	/** Position among the programs of the run, by arrival. */
	readonly index: number;
	/** Virtual milliseconds since the start of the run. */
	readonly arrivesAt: number;
	readonly row: RowPlan;
	readonly steps: readonly ProgramStep[];
	/** Slot time that no policy can avoid, in milliseconds: the prefill of each new token once, and the generation of the output. */
	readonly workMs: number;
	/** Number of steps after which the program's process dies without ending the program; undefined if it doesn't die. */
	readonly diesAfter?: number;
	/** Whether its first model call crashes the upstream that runs it. */
	readonly crashes: boolean;
};
