/**
Orders the holders of a list by preference for one program: first a write quorum of
reachable ones that depends on the program alone, with those in the own data centre before the others,
then the rest.

Expected load: the calls of one program come through processes of several data centres.
If each preferred the disk next to it, that disk would lack what the program's earlier
turns wrote: a reservation would be sent again with it, a chain read from all disks, and
a turn stored with all turns before it.
*/
import {hashPair} from '@siskinhub/core/ids/hash-pair.js';
import type {Hello} from '@siskinhub/proto/gen/siskinhub/peer/v1/peer_pb.js';
import {countFirstAsked} from './count-first-asked.js';
import type {Holder} from './holder.js';
import type {HolderList} from './holder-list.js';
import {listAllHolders} from './list-all-holders.js';

type OrderOptions = {
	/** What the process at the holder's address said about itself; `undefined` while the link is closed. */
	readonly getRemote: (holder: Holder) => Hello | undefined;
	readonly dataCentre: string;
	/** Requests for one program prefer the same holders, so that its turns are stored together. */
	readonly program: string;
	/** Number of disks that may be lost at the same time. */
	readonly losses: number;
};

/** Which holders come first depends on the program, which spreads the load. */
export const orderHolders = (list: HolderList, {getRemote, dataCentre, program, losses}: OrderOptions): readonly Holder[] => {
	const isReachable = (holder: Holder): boolean => getRemote(holder)?.dataFolderId === holder.diskId;
	const isIn = (holders: readonly Holder[], {diskId}: Holder): boolean => holders.some(each => each.diskId === diskId);
	// Those that stay count for both lists while the list is changing.
	const stays = (holder: Holder): boolean => !list.next || (isIn(list.current, holder) && isIn(list.next, holder));
	const ordered = listAllHolders(list)
		.map(holder => ({holder, order: (isReachable(holder) ? 0 : 2) + (stays(holder) ? 0 : 1) + hashPair(program, holder.diskId)}))
		.toSorted((a, b) => a.order - b.order)
		.map(({holder}) => holder);
	const quorum = countFirstAsked(list, ordered, losses);
	const first = ordered.slice(0, quorum);
	const isNear = (holder: Holder): boolean => holder.dataCentre === dataCentre && isReachable(holder);
	return [...first.filter(holder => isNear(holder)), ...first.filter(holder => !isNear(holder)), ...ordered.slice(quorum)];
};
