/**
Converts a limit for a message of a link.
*/
import type {UpstreamLimit} from './upstream-limit.js';

export const toWireLimit = ({upstream, perSecond, ageMs}: UpstreamLimit) => ({
	upstream, ageMs: Math.round(ageMs), ...(perSecond !== undefined && {perSecond}),
});
