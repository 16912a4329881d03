/**
What the holders of a replica group told when an attempt reserved its tokens.
*/
import type {KeptTurn, StreamOrigin, TokenUse} from '@siskinhub/proto/gen/siskinhub/peer/v1/peer_pb.js';

export type TokenReservation = {
	readonly attempt: string;
	/** What all attempts of the program have used or reserved, with this one. */
	readonly uses: ReadonlyMap<string, TokenUse>;
	/** Disks that have all of it; more are added as they are sent what they lack. */
	readonly complete: Set<string>;
	/** Whether these disks were a write quorum when they answered. */
	readonly isComplete: boolean;
	/** Whether any holder may have stored the reservation. */
	readonly mayBeStored: boolean;
	/** Whether a holder that answered has not stored it. */
	readonly isDeclined: boolean;
	/** Whether a write quorum has the uses of all other attempts. */
	readonly hasOthersComplete: boolean;
	/** What was read along of the chain before the turn, newest first. */
	readonly turns: readonly KeptTurn[];
	/** The origin that a write quorum stored with the reservation. */
	readonly storedOrigin: Pick<StreamOrigin, 'service' | 'version' | 'sequence'> | undefined;
};
