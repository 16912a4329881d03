/**
Chooses the engine that is expected to begin a model call first.

Pattern of load: programs whose prompts grow turn by turn, over a few prefixes
that many programs share, with several processes that choose at once. A prompt
goes where most of it was read already; processes that know nothing yet agree
through a hash of the shared prefix, so that each prefix is read on few engines;
work under way there pushes a call on to the next one.
*/
import {hashPair} from '@siskinhub/core/ids/hash-pair.js';
import type {CallHead} from '../call/call-head.js';
import type {UpstreamLoad} from './upstream-load.js';

/** Prompt tokens that an engine reads in a millisecond, about; only the relation to the other costs counts. */
const PREFILL_TOKENS_PER_MS = 40;
/** What each call under way adds to the steps of the others. */
const RUNNING_CALL_COST_MS = 2;
const OTHER_DATA_CENTRE_COST_MS = 2;
/** Difference between the first and the last engine in the order of the hash. */
const HASH_SPREAD_MS = 12;

const computeCost = (call: CallHead, load: UpstreamLoad): number => {
	const {prompt} = call;
	const missingTokens = Math.max(0, (prompt?.promptTokens ?? 0) - load.heldTokens);
	const prefillMs = (missingTokens + load.unreadTokens) / PREFILL_TOKENS_PER_MS;
	const distanceMs = load.isNear ? 0 : OTHER_DATA_CENTRE_COST_MS;
	const hashMs = HASH_SPREAD_MS * hashPair(prompt?.parts[0]?.id ?? call.id, load.upstream.id);
	return prefillMs + (RUNNING_CALL_COST_MS * load.running) + distanceMs + hashMs + load.penaltyMs;
};

/** The cheapest of `loads`. */
export const chooseEngine = (call: CallHead, loads: readonly UpstreamLoad[]): UpstreamLoad | undefined => {
	let best: {load: UpstreamLoad; cost: number} | undefined;
	for (const load of loads) {
		const cost = computeCost(call, load);
		if (!best || cost < best.cost) {
			best = {load, cost};
		}
	}

	return best?.load;
};
