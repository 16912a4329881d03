/**
Asks the holders of a program's replica group to store a reservation.
*/
import type {TokenUse} from '@siskinhub/proto/gen/siskinhub/peer/v1/peer_pb.js';
import type {createStreamOrigin} from './create-stream-origin.js';
import type {QuorumPlace} from './quorum-place.js';
import type {TokenReservation} from './token-reservation.js';

type ReservationRequest = {
	readonly program: string;
	/** The reservation itself. */
	readonly use: TokenUse;
	/** Unix milliseconds. */
	readonly expiresAtMs: number;
	readonly origin: ReturnType<typeof createStreamOrigin> | undefined;
};

type RoundLimits = {
	/** A holder by whose knowledge it would be exceeded stores nothing; without it all store the reservation. */
	readonly budget: number | undefined;
	/** Turn whose chain one of the holders is to read along. */
	readonly readTurn: string | undefined;
	readonly timeoutMs: number;
};

/** Resolves to nothing if too few holders answered in time. */
export type AskReservation = (place: QuorumPlace, request: ReservationRequest, limits: RoundLimits) => Promise<TokenReservation | undefined>;
