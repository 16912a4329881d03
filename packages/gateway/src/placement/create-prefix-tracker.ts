/**
Tracks which prompt parts an engine is believed to hold in its prefix cache: the
ones that this process sent there most recently, up to the cache's size.
*/
import type {PromptPart} from '../call/prompt-part.js';

/** `capacityTokens` is the size of the engine's cache. */
export const createPrefixTracker = (capacityTokens: number) => {
	// A Map keeps insertion order, so the least recently used part comes first.
	const parts = new Map<string, number>();
	let totalTokens = 0;

	const dropPart = (id: string): void => {
		totalTokens -= parts.get(id) ?? 0;
		parts.delete(id);
	};

	return {
		/** Records that the engine has read these parts or already held them. */
		record(promptParts: readonly PromptPart[]): void {
			for (const {id, tokens} of promptParts) {
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
		/** Counts the tokens at the start of the prompt that the engine need not read again. */
		countHeldTokens(promptParts: readonly PromptPart[]): number {
			let heldTokens = 0;
			for (const {id, tokens} of promptParts) {
				// A session's part grows with each of its turns.
				const held = Math.min(tokens, parts.get(id) ?? 0);
				heldTokens += held;
				if (held < tokens) {
					break;
				}
			}

			return heldTokens;
		},
	};
};
