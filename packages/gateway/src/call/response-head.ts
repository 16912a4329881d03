/**
The head of an upstream's response, decoded once on arrival.
*/

export type ResponseHead = {
	readonly status: number;
	/** Headers to forward, alternating names and values. */
	readonly headers: string[];
	/** Id of the request that the upstream claims to answer. */
	readonly answeredRequestId?: string;
	/** The response carries the upstream's signature. */
	readonly isSigned: boolean;
	/** The upstream states that it did not run the request. */
	readonly hasNotRun: boolean;
	/** The upstream at this address is not the expected one. */
	readonly isOtherUpstream: boolean;
	/** The upstream says that it is leaving, so that it must get no new request. */
	readonly isLeaving: boolean;
	/** Requests a second that the upstream says it takes from all processes together; absent if it names no limit. */
	readonly limitPerSecond?: number;
	/** The body has a length or is chunked, so its end is known without the end of the connection. */
	readonly isFramed: boolean;
};
