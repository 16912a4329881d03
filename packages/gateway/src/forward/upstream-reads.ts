/**
What all connections of the process to upstreams share: the counts of what was read.
*/
export const upstreamReads = {
	counts: {
		bytes: 0,
		/** Connections closed because bytes arrived that were no answer: without a request, in place of a head, or in place of a body and its end. */
		cut: {idle: 0, head: 0, body: 0},
	},
};
