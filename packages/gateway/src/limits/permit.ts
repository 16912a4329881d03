/**
The answer of a permit issuer: whether one request may be sent.
*/

export type Permit =
	| {readonly kind: 'granted'}
	/** `waitMs`: when it is worth asking again. */
	| {readonly kind: 'denied'; readonly waitMs: number};
