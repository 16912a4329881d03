/**
Lists the processes that are asked for the declared state while the platform's
service does not answer.
*/
import type {Holder} from '@siskinhub/turns/membership/holder.js';

/** Bounds the links that are opened for this purpose. */
const MAX_NEIGHBOURS = 4;

/** Returns addresses of copy holders other than `self`, those of the same data centre first. */
export const listNeighbourAddresses = (disks: readonly Holder[], self: Pick<Holder, 'address' | 'dataCentre'>): readonly string[] => disks
	.filter(({address}) => address !== self.address)
	.toSorted((a, b) => Number(b.dataCentre === self.dataCentre) - Number(a.dataCentre === self.dataCentre))
	.slice(0, MAX_NEIGHBOURS)
	.map(({address}) => address);
