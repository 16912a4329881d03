/**
Orders holders by who should be asked first.
*/
import {hashPair} from '@siskinhub/core/ids/hash-pair.js';
import type {Hello} from '@siskinhub/proto/gen/siskinhub/peer/v1/peer_pb.js';
import type {Holder} from './holder.js';

type OrderOptions = {
	readonly remoteOf: (holder: Holder) => Hello | undefined;
	readonly dataCentre: string;
	/** Calls of one program go to the same holders, so that its turns lie together. */
	readonly program: string;
};

/** Those that answer in this data centre, those that answer elsewhere, the rest; by program within each, so that load spreads. */
export const orderHolders = (holders: readonly Holder[], {remoteOf, dataCentre, program}: OrderOptions): readonly Holder[] => {
	const rank = (holder: Holder): number => {
		const remote = remoteOf(holder);
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
