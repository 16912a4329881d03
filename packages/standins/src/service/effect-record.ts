/**
The record that a service stand-in keeps of an effect.
*/

/** One effect that took place, as `GET /records` returns it. */
export type EffectRecord = {
	readonly service: string;
	readonly requestId: string;
	readonly operation: string;
	/** SHA-256 of the input's JSON text. */
	readonly inputSha256: string;
	/** Text of the first `[[mark=TEXT]]` in the input, by which a test recognises the request; empty without one. */
	readonly mark: string;
	/** Milliseconds since the Unix epoch. */
	readonly at: number;
};
