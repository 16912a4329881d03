/**
Remembers which parts of prompts an engine is believed to hold: those that this
process sent there last, up to the engine's memory.
*/
import type {PromptPart} from '../call/prompt-part.js';

/** `capacity` is in tokens. */
export const createPrefixTracker = (capacityTokens: number) => {
	// A Map keeps the order of insertion, so the part used longest ago comes first.
	const parts = new Map<string, number>();
	let totalTokens = 0;

	const dropPart = (id: string): void => {
		totalTokens -= parts.get(id) ?? 0;
		parts.delete(id);
	};

	return {
		/** The call's parts are read, or were found, there. */
		record(call: readonly PromptPart[]): void {
			for (const {id, tokens} of call) {
				dropPart(id);
				parts.set(id, tokens);
				totalTokens += tokens;
			}

			for (const id of parts.keys()) {
				if (totalTokens <= capacityTokens) {
					return;
				}

				dropPart(id);
			}
		},
		/** Tokens from the start of the prompt on that need not be read again. */
		countHeldTokens(call: readonly PromptPart[]): number {
			let heldTokens = 0;
			for (const {id, tokens} of call) {
				if (!parts.has(id)) {
					break;
				}

				heldTokens += tokens;
			}

			return heldTokens;
		},
	};
};
