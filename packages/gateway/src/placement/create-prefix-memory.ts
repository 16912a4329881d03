/**
Remembers which parts of prompts an engine is believed to hold: those that this
process sent there last, up to the engine's memory.
*/
import type {PromptPart} from '../call/prompt-part.js';

/** `capacity` is in tokens. */
export const createPrefixMemory = (capacity: number) => {
	// A Map keeps the order of insertion, so the part used longest ago comes first.
	const parts = new Map<string, number>();
	let total = 0;

	const drop = (id: string): void => {
		total -= parts.get(id) ?? 0;
		parts.delete(id);
	};

	return {
		/** The call's parts are read, or were found, there. */
		note(call: readonly PromptPart[]): void {
			for (const {id, tokens} of call) {
				drop(id);
				parts.set(id, tokens);
				total += tokens;
			}

			for (const id of parts.keys()) {
				if (total <= capacity) {
					return;
				}

				drop(id);
			}
		},
		/** Tokens from the start of the prompt on that need not be read again. */
		countHeld(call: readonly PromptPart[]): number {
			let held = 0;
			for (const {id, tokens} of call) {
				if (!parts.has(id)) {
					break;
				}

				held += tokens;
			}

			return held;
		},
	};
};
