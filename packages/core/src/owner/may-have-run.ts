/**
Decides whether a request can still be called not-run.
*/
import type {OpenProgram} from './open-program.js';
import type {OwnedCall} from './owned-call.js';

/** True if an earlier grant of the call may have led to a run. Grants of non-idempotent calls stand in the shard's log; those of others die with their owner. */
export const mayHaveRun = (program: OpenProgram, call: OwnedCall): boolean =>
	program.doubtful.has(call.requestId) || (call.idempotent && call.turn === program.inheritedTurn);
