/**
Chooses the copy holders that issue grants for all workspaces: the same in all
processes that know the same registered holders, without asking.

Load: some 80 workspaces at each of 23 to 1,100 gateways. The same issuers for all
workspaces let one message carry all that a gateway asks for.
*/
import {hashPair} from '@siskinhub/core/ids/hash-pair.js';
import type {Holder} from '@siskinhub/turns/membership/holder.js';

/** Three of them carry an ordinary day, so any two may be away. */
const MAX_ISSUERS = 5;

export const orderQuotaIssuers = <T extends Pick<Holder, 'diskId'>>(holders: readonly T[]): readonly T[] => holders
	.map(holder => ({holder, order: hashPair('quotas', holder.diskId)}))
	.toSorted((a, b) => a.order - b.order)
	.slice(0, MAX_ISSUERS)
	.map(({holder}) => holder);
