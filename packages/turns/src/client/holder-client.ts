/**
Interface of the client through which a gateway stores turns and reserves tokens
on the holders.
*/
import type {KeptTurn} from '@siskinhub/proto/gen/siskinhub/peer/v1/peer_pb.js';
import type {OutputEvent} from './output-event.js';

type Attempt = {
	readonly program: string;
	/** Id of this attempt at running the turn. */
	readonly attempt: string;
	readonly tokens: number;
	/** How long the program's turns and token uses are kept. */
	readonly retentionMs: number;
};

/** `isFromOtherGroup`: the chain is not in the program's own replica group yet. */
type TurnsRead = {readonly kind: 'found'; readonly turns: readonly KeptTurn[]; readonly isFromOtherGroup: boolean} | {readonly kind: 'unknown' | 'unavailable'};

type StoredTurn = Pick<KeptTurn, 'id' | 'previous' | 'input' | 'output'>;

type TurnContent = {
	readonly previous: string;
	readonly input: Uint8Array;
	readonly output: Uint8Array;
	/** The chain before the turn, oldest first; sent to holders that lack a part of it. */
	readonly ancestors: readonly StoredTurn[];
	/** Whether the chain was read from another replica group, so that no holder of the program's own group is expected to have it. */
	readonly isFromOtherGroup: boolean;
};

/** The software that began a stream. */
type Origin = {readonly service: string; readonly version: string};

/** `program` is that of the request, or the id of the attempt if it belongs to none. */
type StreamAttempt = {readonly program: string; readonly attempt: string};

/** Of several records of one stream the one with the highest `sequence` holds. `takenUpBy` is the attempt that took the stream up last; empty if none has. */
type OriginRecord = Origin & {readonly sequence: number; readonly takenUpBy?: string};

/** `unknown` is returned only if no holder can have it. */
type OriginRead = {readonly kind: 'found'; readonly origin: Required<OriginRecord>} | {readonly kind: 'unknown' | 'unavailable'};

/** Reserves tokens before a turn runs, reads the turns that precede it and stores its result. */
export type HolderClient = {
	/** `origin` is the software that is expected to run the attempt, which is then stored in the same step, see `recordOrigin`. The chain that ends with `previousTurn` is read along, see `readTurns`. `spent`: the budget is used up; nothing was reserved. `over-budget`: the same, but the tokens may have been reserved, and the caller must settle the attempt. `unavailable`: too few holders answered, so the tokens may or may not be reserved. */
	readonly reserve: (attempt: Attempt & {readonly budget: number; readonly origin?: Origin | undefined; readonly previousTurn?: string | undefined}, timeoutMs: number) => Promise<'reserved' | 'spent' | 'over-budget' | 'unavailable'>;
	/** Reads the chain that ends with `turn`, oldest first. `unknown` is returned only if no holder can have the turn. What was read along when `attempt` reserved its tokens with `previousTurn` is not asked for again. */
	readonly readTurns: (program: string, turn: string, timeoutMs: number, attempt?: string) => Promise<TurnsRead>;
	/** Stores the tokens that the attempt used and, if given, its turn; resolves to whether a write quorum has them on disk. Without a turn the messages may wait for others, see `CallOptions`. */
	readonly settle: (attempt: Attempt, turn: TurnContent | undefined, timeoutMs: number) => Promise<boolean>;
	/** Stores which software runs an attempt that may begin a stream. Resolves to whether a write quorum has it on disk and nothing that holds instead. */
	readonly recordOrigin: (stream: StreamAttempt & OriginRecord, timeoutMs: number) => Promise<boolean>;
	/** Reads which software began the stream whose first event the attempt brought. */
	readonly readOrigin: (stream: StreamAttempt, timeoutMs: number) => Promise<OriginRead>;
	/** Passes events of an attempt to the holders, which keep them in memory for a while; `offset` is the number of its events before these. Does not wait. */
	readonly appendOutput: (stream: StreamAttempt, offset: number, events: readonly OutputEvent[]) => void;
	/** Reads the events that the attempt passed on, up to the one with the id `lastEventId`; `undefined` if no holder that answers has them all. */
	readonly readOutput: (stream: StreamAttempt, lastEventId: string, timeoutMs: number) => Promise<readonly OutputEvent[] | undefined>;
	/** Whether a write quorum of most replica groups is reachable now. */
	readonly isReady: () => boolean;
	/** Whether waiting for a write quorum is futile for most replica groups. */
	readonly isCutOff: () => boolean;
	/** For how many milliseconds waiting for a write quorum of the program's replica group has been futile; 0 while a new turn may still get one. */
	readonly cutOffForMs: (program: string) => number;
};
