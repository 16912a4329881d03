/**
Converts a limit for a message of a link.
*/
import {toWireMs} from '../host/to-wire-ms.js';
import type {UpstreamLimit} from './upstream-limit.js';

export const toWireLimit = ({upstream, perSecond, ageMs}: UpstreamLimit) => ({
	upstream, ageMs: toWireMs(ageMs), ...(perSecond !== undefined && {perSecond}),
});
