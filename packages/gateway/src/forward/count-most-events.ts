/**
Tells how many events a sound stream has at most.
*/
import type {CallHead} from '../call/call-head.js';

/** Events without a token, such as those that begin and end a turn; enough for one each second of the longest turns. */
const EVENTS_WITHOUT_TOKENS = 256;

/**
An event may contain several tokens, but several events have no token in common, unless
the service declares less than one token for each event. `Infinity` if the call names
no bound of its tokens.
*/
export const countMostEvents = ({prompt}: Pick<CallHead, 'prompt'>, tokensPerEvent: number): number => {
	if (!prompt) {
		return Infinity;
	}

	return tokensPerEvent > 0 ? Math.ceil(prompt.maxTokens / Math.min(1, tokensPerEvent)) + EVENTS_WITHOUT_TOKENS : Infinity;
};
