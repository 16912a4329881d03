/**
Orders holders by preference for one program: reachable ones in the own data
centre, reachable ones elsewhere, then the rest.
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
};

/** Within each group the order depends on the program, which spreads the load. */
export const orderHolders = (holders: readonly Holder[], {getRemote, dataCentre, program}: OrderOptions): readonly Holder[] => {
	const rank = (holder: Holder): number => {
		const remote = getRemote(holder);
		if (remote?.dataFolderId !== holder.diskId) {
			return 2;
		}

		return remote.dataCentre === dataCentre ? 0 : 1;
	};

	return holders
		.map(holder => ({holder, order: rank(holder) + hashPair(program, holder.diskId)}))
		.toSorted((a, b) => a.order - b.order)
		.map(({holder}) => holder);
};
