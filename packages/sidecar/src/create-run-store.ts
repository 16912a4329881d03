/**
Keeps runs by claim, with an index by program.

An answer is needed until its turn is stored: a dispatch of a later turn shows
that it was, and so does the end of the program. A plain service's program may
never come back, so answers also go after a time; the registry still remembers
the claim, and an entry that asks later is told that the call ran.
*/
import type {ClaimId} from '@siskinhub/core/ids/claim-id.js';
import type {ProgramId} from '@siskinhub/core/ids/program-id.js';
import type {Run} from './run.js';
import type {RunStore} from './run-store.js';

/** Longer than any deadline plus the time of a takeover, so that a retry still finds the answer. */
const ANSWER_RETENTION_MS = 15 * 60_000;
/** An idempotent run that nobody follows for this long only costs its upstream. */
const ABANDONED_MS = 60_000;

const turnOf = (run: Run): number => run.dispatch.grant?.turn ?? 0;

/** Creates an empty store. */
export const createRunStore = (): RunStore => {
	const runs = new Map<ClaimId, Run>();
	const byProgram = new Map<ProgramId, Set<Run>>();

	const remove = (run: Run) => {
		runs.delete(run.claim);
		const siblings = byProgram.get(run.program);
		siblings?.delete(run);
		if (siblings?.size === 0) {
			byProgram.delete(run.program);
		}
	};

	const forgetEnded = (program: ProgramId, beforeTurn: number) => {
		for (const run of byProgram.get(program) ?? []) {
			if (run.state === 'done' && turnOf(run) < beforeTurn) {
				remove(run);
			}
		}
	};

	return {
		get: claim => runs.get(claim),
		add(run) {
			forgetEnded(run.program, turnOf(run));
			runs.set(run.claim, run);
			const siblings = byProgram.get(run.program) ?? new Set();
			siblings.add(run);
			byProgram.set(run.program, siblings);
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
				} else if (run.state === 'running' && run.abandonedAt !== undefined && now - run.abandonedAt > ABANDONED_MS) {
					abandoned.push(run);
				}
			}

			return abandoned;
		},
		size: () => runs.size,
	};
};
