/**
The response to one caller, which is started and ended at most once.
*/

/** Writes after the end are ignored. The caller may disconnect at any time. */
export type CallerResponse = {
	readonly isStarted: () => boolean;
	/** Whether the caller closed the connection before the response ended. */
	readonly isDisconnected: () => boolean;
	readonly onDisconnect: (listener: () => void) => void;
	/** Ends the response with a status of the gateway's own and no body. */
	readonly refuse: (status: number, retryAfterMs?: number) => void;
	/** A response without a length is sent in chunks, also if the upstream's was ended by its connection: the end of a connection proves nothing to the caller, as a killed process causes it too. */
	readonly start: (status: number, headers: string[]) => void;
	/** From now on, what is written goes out behind the messages to other processes that were queued before it. */
	readonly sendAfterMessages: () => void;
	/** Returns `false` if the buffer is full and the writer should wait for `onDrain`. */
	readonly write: (bytes: Uint8Array) => boolean;
	readonly onDrain: (listener: () => void) => void;
	readonly finish: (bytes?: Uint8Array) => void;
	/** Closes the connection, so that the caller does not take a partial response for a complete one. */
	readonly abort: () => void;
};
