/**
Type of the errors of a request or call on a link.
*/

/** `lost`: the link closed or went silent, so the message may or may not have been handled. `timeout`: the link is open but no reply arrived in time. */
export type LinkError = {
	readonly kind: 'lost' | 'timeout';
	readonly message: string;
};
