/**
Checks whether a request may already have run, so that it must not be reported as `not-run`.
*/
import type {OpenProgram} from './open-program.js';
import type {OwnedCall} from './owned-call.js';

/** Whether the call may have run under an earlier grant. Grants of non-idempotent calls are in the shard's log; those of idempotent calls are lost with the owner that issued them. */
export const mayHaveRun = (program: OpenProgram, call: OwnedCall): boolean =>
	program.possiblyRun.has(call.requestId) || (call.idempotent && call.turn === program.inheritedTurn);
