/**
Orders holders by preference for one program: reachable ones in the own data
centre, reachable ones elsewhere, then the rest.

Expected load: data centres have unequal numbers of disks, and the members of a
group stand in as many data centres as there are. The only disk of a data centre is
then in every group, and would be asked several times as often as one of three. So
a disk is asked the less for each of its groups the more groups it serves, and one
that serves more than the others of the group gets no preference for being near.
*/
import {hashPair} from '@siskinhub/core/ids/hash-pair.js';
import type {Hello} from '@siskinhub/proto/gen/siskinhub/peer/v1/peer_pb.js';
import type {Holder} from '../membership/holder.js';

/** Above 1, since several members of a group are asked, so that even a disk with a small weight is often among them. */
const WEIGHT_EXPONENT = 1.5;

type OrderOptions = {
	/** What the process at the holder's address said about itself; `undefined` while the link is closed. */
	readonly getRemote: (holder: Holder) => Hello | undefined;
	/** Returns in how many replica groups a disk is. */
	readonly countGroups: (diskId: string) => number;
	readonly dataCentre: string;
	/** Requests for one program prefer the same holders, so that its turns are stored together. */
	readonly program: string;
};

/** Within each rank the order depends on the program, which spreads the load. */
export const orderHolders = (holders: readonly Holder[], {getRemote, countGroups, dataCentre, program}: OrderOptions): readonly Holder[] => {
	const meanGroups = holders.reduce((sum, {diskId}) => sum + Math.max(1, countGroups(diskId)), 0) / holders.length;

	/** 1 for a disk in as many groups as the others on the mean. */
	const measureLoad = ({diskId}: Holder): number => Math.max(1, countGroups(diskId)) / meanGroups;

	const rank = (holder: Holder): number => {
		const remote = getRemote(holder);
		if (remote?.dataFolderId !== holder.diskId) {
			return 2;
		}

		return remote.dataCentre === dataCentre && measureLoad(holder) <= 1 ? 0 : 1;
	};

	/** Weighted rendezvous hashing, from 0 to 1. */
	const draw = (holder: Holder): number => 1 - (hashPair(program, holder.diskId) ** (measureLoad(holder) ** WEIGHT_EXPONENT));

	return holders
		.map(holder => ({holder, order: rank(holder) + draw(holder)}))
		.toSorted((a, b) => a.order - b.order)
		.map(({holder}) => holder);
};
