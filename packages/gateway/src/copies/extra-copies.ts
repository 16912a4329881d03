/**
Decides when requests that may be repeated get an extra copy.
*/
import type {CallPlan} from '../forward/call-plan.js';
import type {UpstreamLoad} from '../placement/upstream-load.js';

/** Follows one send of a request that may get a copy. */
export type CopyWatch = {
	/** Milliseconds after which the answer is slow; `Infinity` for no copy. */
	readonly slowAfterMs: number;
	/** The candidates for a copy of the request that is at `first`; none if no copy may be sent now. */
	readonly listCandidates: (first: UpstreamLoad, loads: readonly UpstreamLoad[]) => readonly UpstreamLoad[];
	/** Takes one copy of the limit; returns whether it may be sent. Must be called last before it is sent. */
	readonly trySpend: () => boolean;
	/** Must be called when the send, with its copy if it has one, is over. `isAnswered`: with an answer of the upstream or at the deadline. */
	readonly end: (isAnswered: boolean, copy: 'won' | 'lost' | undefined) => void;
};

export type ExtraCopies = {
	/** `undefined` if the request gets no copy, whatever happens. */
	readonly watch: (plan: CallPlan) => CopyWatch | undefined;
	readonly counts: Readonly<Record<'sends' | 'copies' | 'won' | 'withheld', number>>;
};
