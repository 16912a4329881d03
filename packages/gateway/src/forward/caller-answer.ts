/**
The answer to one caller, which begins and ends at most once.
*/

/** After the end nothing more is written; the caller may leave at any time. */
export type CallerAnswer = {
	readonly isStarted: () => boolean;
	/** The connection was closed by the caller before the end. */
	readonly isGone: () => boolean;
	readonly onGone: (listener: () => void) => void;
	/** Ends with an answer of the system's own. */
	readonly refuse: (status: number, retryAfterMs?: number) => void;
	/** An answer that is not framed ends with its connection, as the upstream's did: nobody can know that it is whole. */
	readonly start: (status: number, headers: string[], isFramed: boolean) => void;
	/** `false` asks to wait for `onDrain`. */
	readonly write: (bytes: Uint8Array) => boolean;
	readonly onDrain: (listener: () => void) => void;
	readonly finish: (bytes?: Uint8Array) => void;
	/** Closes the connection, so that what was written does not look whole. */
	readonly breakOff: () => void;
};
