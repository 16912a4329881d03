/**
How an exchange on a link can fail.
*/

/** `lost`: the link closed or went silent, so the message may have been handled. `timeout`: the link lives but no reply came in time. */
export type LinkError = {
	readonly kind: 'lost' | 'timeout';
	readonly message: string;
};
