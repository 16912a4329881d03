/**
Names one start of one upstream: what was learnt of it is not true of the next.
*/
import type {Upstream} from './upstream.js';

export const identifyStart = ({id, bornAtMs}: Pick<Upstream, 'id' | 'bornAtMs'>): string => `${id} ${bornAtMs}`;
