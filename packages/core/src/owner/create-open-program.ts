/**
Creates the state that a shard's owner keeps of a program.
*/
import type {Digest} from '../ids/digest.js';
import type {TurnNumber} from '../ids/turn-number.js';
import type {ProgramHeader} from '../history/program-header.js';
import type {OpenProgram} from './open-program.js';

const FIRST_TURN = 1 as TurnNumber;
const EMPTY_HISTORY_DIGEST = '' as Digest;

/** Returns a program without turns whose caller was last seen at `now` (milliseconds since the Unix epoch). */
export const createOpenProgram = (header: ProgramHeader, now: number): OpenProgram => ({
	header,
	digest: EMPTY_HISTORY_DIGEST,
	nextTurn: FIRST_TURN,
	spentTokens: 0,
	historyTokens: 0,
	ended: false,
	storedTurns: new Map(),
	closed: new Map(),
	possiblyRun: new Set(),
	children: new Set(),
	prefixHolders: new Set(),
	lastSeenAt: now,
});
