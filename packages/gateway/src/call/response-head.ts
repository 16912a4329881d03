/**
The head of an upstream's answer, decoded once where it arrives.
*/

/** What the answer's status and headers say. */
export type ResponseHead = {
	readonly status: number;
	/** Headers to pass on, names and values in turn. */
	readonly headers: string[];
	/** The request that the upstream says it answers. */
	readonly answers?: string;
	/** The answer carries the upstream's signature. */
	readonly isSigned: boolean;
	/** The upstream states that it did not run the request. */
	readonly hasNotRun: boolean;
	/** The upstream that was expected is not the one at this address. */
	readonly isOtherUpstream: boolean;
	/** The end of the body shows by its length or its last chunk, and not only by the end of the connection. */
	readonly isFramed: boolean;
};
