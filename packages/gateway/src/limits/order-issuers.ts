/**
Orders the copy holders that issue permits for an upstream.

Expected load: a limit of a few requests a second for all processes together. One
process has to count for all of them. Every process finds the same order by
itself, without asking and whatever it can reach, and different upstreams lead to
different holders.
*/
import {hashPair} from '@siskinhub/core/ids/hash-pair.js';
import type {Holder} from '@siskinhub/turns/membership/holder.js';

/** `upstream` is identified by `identifyStart`. */
export const orderIssuers = <T extends Pick<Holder, 'diskId'>>(upstream: string, holders: readonly T[]): readonly T[] => holders
	.map(holder => ({holder, order: hashPair(upstream, holder.diskId)}))
	.toSorted((a, b) => a.order - b.order)
	.map(({holder}) => holder);
