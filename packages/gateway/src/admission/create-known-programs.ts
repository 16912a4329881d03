/**
Remembers the programs of which this gateway has accepted a call.
*/
import type {CallHead} from '../call/call-head.js';
import {scopeId} from '../workspaces/scope-id.js';

/** Bounds the memory; the program that was used longest ago is forgotten first. */
const MAX_PROGRAMS = 5000;

export const createKnownPrograms = () => {
	// A Set keeps insertion order, so the program used longest ago comes first.
	const programs = new Set<string>();
	return {
		/** Whether the call is the first of its program, as far as this gateway knows. A call that continues a turn never is. */
		isFirstCall: ({program}: Pick<CallHead, 'program'>, workspace: string | undefined): boolean =>
			program !== undefined && program.previousTurn === undefined && !programs.has(scopeId(workspace, program.id)),
		add({program}: Pick<CallHead, 'program'>, workspace: string | undefined): void {
			if (!program) {
				return;
			}

			const id = scopeId(workspace, program.id);
			programs.delete(id);
			programs.add(id);
			if (programs.size > MAX_PROGRAMS) {
				const [oldest] = programs;
				programs.delete(oldest!);
			}
		},
	};
};
