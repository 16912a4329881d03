/**
Orders holders by preference for one program: first a write quorum of reachable ones
that depends on the program alone, with those in the own data centre before the others,
then the rest.

Expected load: the calls of one program come through processes of several data centres.
If each preferred the disk next to it, that disk would lack what the program's earlier
turns wrote: a reservation would be sent again with it, a chain read from all disks, and
a turn stored with all turns before it.
*/
import {hashPair} from '@siskinhub/core/ids/hash-pair.js';
import type {Hello} from '@siskinhub/proto/gen/siskinhub/peer/v1/peer_pb.js';
import type {Holder} from '../membership/holder.js';

type OrderOptions = {
	/** What the process at the holder's address said about itself; `undefined` while the link is closed. */
	readonly getRemote: (holder: Holder) => Hello | undefined;
	readonly dataCentre: string;
	/** Requests for one program prefer the same holders, so that its turns are stored together. */
	readonly program: string;
	/** How many holders a write asks first. */
	readonly quorum: number;
};

/** Which holders come first depends on the program, which spreads the load. */
export const orderHolders = (holders: readonly Holder[], {getRemote, dataCentre, program, quorum}: OrderOptions): readonly Holder[] => {
	const isReachable = (holder: Holder): boolean => getRemote(holder)?.dataFolderId === holder.diskId;
	const ordered = holders
		.map(holder => ({holder, order: (isReachable(holder) ? 0 : 1) + hashPair(program, holder.diskId)}))
		.toSorted((a, b) => a.order - b.order)
		.map(({holder}) => holder);
	const first = ordered.slice(0, quorum);
	const isNear = (holder: Holder): boolean => holder.dataCentre === dataCentre && isReachable(holder);
	return [...first.filter(holder => isNear(holder)), ...first.filter(holder => !isNear(holder)), ...ordered.slice(quorum)];
};
