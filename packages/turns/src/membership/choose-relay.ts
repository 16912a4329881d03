/**
Chooses the copy holder through which a process learns changes of the declared
state.

Expected load: hundreds of processes in several data centres, and a platform's
service that counts each call. One holder a data centre reads the service, the
one with the lowest disk id of those that are reachable; the other processes of
the data centre follow it. Processes without a holder in their data centre follow
one elsewhere.
*/
import {hashPair} from '@siskinhub/core/ids/hash-pair.js';
import type {Holder} from './holder.js';

type RelayOptions = {
	readonly disks: readonly Holder[];
	/** Disk id of this process; absent if it is no holder. */
	readonly ownDiskId?: string | undefined;
	readonly dataCentre: string;
	/** Whether the holder has an open link and has not failed as a relay recently. */
	readonly isUsable: (holder: Holder) => boolean;
};

/** Bounds the links that a process opens while it looks for a relay. */
const MAX_CANDIDATES = 4;

/** Returns `undefined` if this process is to read the platform's service itself. */
export const chooseRelay = ({disks, ownDiskId, dataCentre, isUsable}: RelayOptions): Holder | undefined => {
	const near = disks.filter(holder => holder.dataCentre === dataCentre).toSorted((a, b) => a.diskId < b.diskId ? -1 : 1);
	const far = disks
		.filter(holder => holder.dataCentre !== dataCentre)
		.map(holder => ({holder, order: hashPair(dataCentre, holder.diskId)}))
		.toSorted((a, b) => a.order - b.order)
		.map(({holder}) => holder);
	const chosen = [...near, ...far].slice(0, MAX_CANDIDATES).find(holder => holder.diskId === ownDiskId || isUsable(holder));
	return chosen?.diskId === ownDiskId ? undefined : chosen;
};
