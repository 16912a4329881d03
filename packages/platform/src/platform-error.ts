/**
Defines the error of a call to the platform's service.
*/

/** `unavailable`: no response or a server error, so a write may or may not have taken effect. `malformed`: the request was refused, or the response or a stored value is invalid. */
export type PlatformError = {
	readonly kind: 'unavailable' | 'malformed';
	readonly message: string;
};
