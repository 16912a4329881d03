/**
How a call to the platform's service can fail.
*/

/** `unavailable`: no answer came, so a write may or may not have taken effect. `malformed`: the answer could not be read. */
export type PlatformError = {
	readonly kind: 'unavailable' | 'malformed';
	readonly message: string;
};
