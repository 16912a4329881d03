/**
Type of an open call that may have several replies.
*/

/** `close` ends the delivery of replies to the caller; the other side is not notified. */
export type OpenCall = {
	readonly close: () => void;
};
