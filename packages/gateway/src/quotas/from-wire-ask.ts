/**
Decodes a question for grants of one workspace.
*/
import type {GrantAsk as WireAsk} from '@siskinhub/proto/gen/siskinhub/peer/v1/peer_pb.js';
import type {GrantAsk} from './grant-ask.js';

export const fromWireAsk = ({workspace, ratePerS, burst, version, usedTotal, lastUseAgeMs, held, needed, wanted}: WireAsk): GrantAsk => ({
	workspace, limit: {ratePerS, burst, version}, usedTotal: Number(usedTotal), lastUseAgeMs, held, needed, wanted,
});
