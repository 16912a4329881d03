/**
Encodes a question for grants of one workspace.
*/
import type {GrantAsk} from './grant-ask.js';

/** Nothing that is older counts in any window. */
const MAX_AGE_MS = 1_000_000_000;

export const toWireAsk = ({limit: {ratePerS, burst, version}, usedTotal, lastUseAgeMs, ...rest}: GrantAsk) => ({
	...rest, ratePerS, burst, version, usedTotal: BigInt(usedTotal), lastUseAgeMs: Math.min(MAX_AGE_MS, Math.floor(lastUseAgeMs)),
});
