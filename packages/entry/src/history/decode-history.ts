/**
Decodes whole program histories from peer messages.
*/
import type {ProgramHistory} from '@siskinhub/core/history/program-history.js';
import type {Epoch} from '@siskinhub/core/ids/epoch.js';
import type {History} from '@siskinhub/proto/gen/siskinhub/peer/v1/peer_pb.js';
import {decodeHeader} from './decode-header.js';
import {decodeTurn} from './decode-turn.js';

/** Returns undefined for a message without a header, which a holder sends if it does not know the program. */
export const decodeHistory = (history: History): ProgramHistory | undefined => history.header && {
	header: decodeHeader(history.header),
	turns: history.turns.map(turn => decodeTurn(turn)),
	ended: history.ended,
	epoch: Number(history.epoch) as Epoch,
};
