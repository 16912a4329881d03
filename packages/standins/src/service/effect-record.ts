/**
What a stand-in service remembers of an effect.
*/

/** One effect that took place, as `GET /records` gives it. */
export type EffectRecord = {
	readonly service: string;
	readonly requestId: string;
	readonly operation: string;
	/** SHA-256 of the input's JSON text. */
	readonly inputSha256: string;
	/** The text after `[[mark=` in the input, by which a test recognises the request. */
	readonly mark: string;
	/** Milliseconds since the Unix epoch. */
	readonly at: number;
};
