/**
A call with many replies that is under way.
*/

/** Lets the opener stop listening; the remote side is not told. */
export type OpenCall = {
	readonly close: () => void;
};
