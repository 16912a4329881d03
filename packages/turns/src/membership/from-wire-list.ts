/**
Converts the list of holders from its protobuf message.
*/
import type {HolderList as WireHolderList} from '@siskinhub/proto/gen/siskinhub/peer/v1/peer_pb.js';
import type {Holder} from './holder.js';
import type {HolderList} from './holder-list.js';

const toHolder = ({diskId, host, address, dataCentre}: Holder): Holder => ({
	diskId, host, address, dataCentre,
});

/** Returns `undefined` for a missing list and for version 0, which stands for no list. */
export const fromWireList = (list: WireHolderList | undefined): HolderList | undefined => {
	if (!list || list.version === 0) {
		return undefined;
	}

	const next = list.next.map(holder => toHolder(holder));
	return {version: list.version, current: list.current.map(holder => toHolder(holder)), ...(next.length > 0 && {next})};
};
