/**
Lists what must be sent to a disk along with a write of an attempt.
*/
import type {TokenUse} from '@siskinhub/proto/gen/siskinhub/peer/v1/peer_pb.js';
import type {TokenReservation} from './token-reservation.js';

/** Returns the uses of the other attempts unless the disk has them all. */
export const listEarlierUses = ({attempt, complete, uses}: Pick<TokenReservation, 'attempt' | 'complete' | 'uses'>, diskId: string): TokenUse[] => complete.has(diskId) ? [] : [...uses.values()].filter(use => use.attempt !== attempt);
