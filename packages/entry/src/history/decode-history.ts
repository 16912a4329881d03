/**
Whole histories as they arrive from other processes.
*/
import type {ProgramHistory} from '@siskinhub/core/history/program-history.js';
import type {Epoch} from '@siskinhub/core/ids/epoch.js';
import type {History} from '@siskinhub/proto/gen/siskinhub/peer/v1/peer_pb.js';
import {decodeHeader} from './decode-header.js';
import {decodeTurn} from './decode-turn.js';

/** Reads a history from its message; undefined if it has no header. */
export const decodeHistory = (history: History): ProgramHistory | undefined => history.header && {
	header: decodeHeader(history.header),
	turns: history.turns.map(turn => decodeTurn(turn)),
	ended: history.ended,
	epoch: Number(history.epoch) as Epoch,
};
