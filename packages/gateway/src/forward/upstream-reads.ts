/**
What all connections of the process to upstreams share: the processor time for
large reads, since there is one event loop, and the counts of what was read.
*/
import {createReadGate} from './create-read-gate.js';

export const upstreamReads = {
	gate: createReadGate(),
	counts: {
		/** Large reads wait for their turn. */
		reads: {small: 0, large: 0},
		bytes: {small: 0, large: 0},
		/** Processor time from large reads until their bytes were handled, in milliseconds. */
		largeMs: 0,
		/** Connections closed because bytes arrived that were no answer: without a request, in place of a head, or in place of a body and its end. */
		cut: {idle: 0, head: 0, body: 0},
	},
};
