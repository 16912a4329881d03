/**
Decodes history holders from peer messages.
*/
import type {HostId} from '@siskinhub/core/ids/host-id.js';
import type {HistoryHolder} from '@siskinhub/core/owner/history-holder.js';
import type {HistoryHolder as HolderMessage} from '@siskinhub/proto/gen/siskinhub/peer/v1/peer_pb.js';

export const decodeHolders = (holders: readonly HolderMessage[]): HistoryHolder[] =>
	holders.map(({host, peerAddress, dataFolderId}) => ({host: host as HostId, peerAddress, dataFolderId}));
