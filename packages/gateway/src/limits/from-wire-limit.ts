/**
Converts a limit from a message of a link.
*/
import type {UpstreamLimit as WireLimit} from '@siskinhub/proto/gen/siskinhub/peer/v1/peer_pb.js';
import type {UpstreamLimit} from './upstream-limit.js';

export const fromWireLimit = ({upstream, perSecond, ageMs}: WireLimit): UpstreamLimit => ({upstream, perSecond, ageMs});
