/**
Chooses the model engine where a call is expected to end first.

Expected load: programs whose prompts grow with each turn, a few prefixes that
many programs share, and several processes that choose independently. A call goes
to the engine that is believed to hold most of its prompt. Processes that know
nothing yet agree through a hash of the shared prefix, so that each prefix is
read on few engines. Active calls there add to the cost and move a call on to the
next engine, and so does the time for which own calls waited there of late: it is
a sign of the calls that the other processes sent to the same engine. The other is
how fast answers come from there: engines may differ in speed, and an answer takes
far longer to generate than a prompt takes to read.
*/
import {hashPair} from '@siskinhub/core/ids/hash-pair.js';
import type {CallHead} from '../call/call-head.js';
import type {UpstreamLoad} from './upstream-load.js';

/** An engine reads one prompt at a time and computes nothing else meanwhile, so reading costs the calls that run there as much as the call itself. */
const RUNNING_CALLS_WEIGHT = 1;
/** Approximate time between two calls that a full engine begins. Reading delays all calls that wait there, one for each such time of the wait. */
const BEGIN_INTERVAL_MS = 50;
/** Each active call lengthens the generation steps of the others. */
const RUNNING_CALL_COST_MS = 2;
const OTHER_DATA_CENTRE_COST_MS = 2;
/** Cost range over which the hash of the prefix spreads the engines. */
const HASH_SPREAD_MS = 12;

const computeCost = (call: CallHead, load: UpstreamLoad): number => {
	const {prompt} = call;
	const missingTokens = Math.max(0, (prompt?.promptTokens ?? 0) - load.heldTokens);
	const prefillMs = (missingTokens + load.pendingPrefillTokens) / load.readTokensPerMs;
	const delayedCalls = load.waitMs / BEGIN_INTERVAL_MS;
	const distanceMs = load.isNear ? 0 : OTHER_DATA_CENTRE_COST_MS;
	const hashMs = HASH_SPREAD_MS * hashPair(prompt?.parts[0]?.id ?? call.id, load.upstream.id);
	return (prefillMs * (1 + RUNNING_CALLS_WEIGHT + delayedCalls)) + (RUNNING_CALL_COST_MS * load.running) + load.waitMs + load.extraRunMs + distanceMs + hashMs + load.penaltyMs;
};

/** Returns the entry of `loads` with the lowest cost. */
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
