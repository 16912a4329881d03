/**
Stores runs by claim, with an index by program.

An answer is needed until its turn is stored, which is certain once a later turn of
the program is dispatched or the program has ended. A program that uses a plain
service may never call again, so answers also expire after a time. The registry
still remembers the claim then, and an entry that asks later is told that the call
ran.
*/
import type {ClaimId} from '@siskinhub/core/ids/claim-id.js';
import type {ProgramId} from '@siskinhub/core/ids/program-id.js';
import type {Run} from './run.js';
import type {RunStore} from './run-store.js';

/** Longer than any deadline plus a takeover, so that a retry still finds the answer. */
const ANSWER_RETENTION_MS = 15 * 60_000;
/** A run without observers for this long is abandoned: if it is idempotent, it only occupies the upstream. */
const ABANDONED_TIMEOUT_MS = 60_000;

const getTurn = (run: Run): number => run.dispatch.grant?.turn ?? 0;

/** Creates an empty store. */
export const createRunStore = (): RunStore => {
	const runs = new Map<ClaimId, Run>();
	const byProgram = new Map<ProgramId, Set<Run>>();

	const remove = (run: Run) => {
		runs.delete(run.claim);
		const programRuns = byProgram.get(run.program);
		programRuns?.delete(run);
		if (programRuns?.size === 0) {
			byProgram.delete(run.program);
		}
	};

	const forgetEnded = (program: ProgramId, beforeTurn: number) => {
		for (const run of byProgram.get(program) ?? []) {
			if (run.state === 'done' && getTurn(run) < beforeTurn) {
				remove(run);
			}
		}
	};

	return {
		get: claim => runs.get(claim),
		add(run) {
			forgetEnded(run.program, getTurn(run));
			runs.set(run.claim, run);
			const programRuns = byProgram.get(run.program) ?? new Set();
			programRuns.add(run);
			byProgram.set(run.program, programRuns);
		},
		remove,
		forgetProgram(program) {
			forgetEnded(program, Number.POSITIVE_INFINITY);
		},
		sweep(now) {
			const abandoned: Run[] = [];
			for (const run of runs.values()) {
				if (run.state === 'done' && now - run.endedAt > ANSWER_RETENTION_MS) {
					remove(run);
				} else if (run.state === 'running' && run.abandonedAt !== undefined && now - run.abandonedAt > ABANDONED_TIMEOUT_MS) {
					abandoned.push(run);
				}
			}

			return abandoned;
		},
		size: () => runs.size,
	};
};
