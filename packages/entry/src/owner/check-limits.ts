/**
Checks a call against the limits of its program's rows.
*/
import type {OpenProgram} from '@siskinhub/core/owner/open-program.js';
import type {ProgramLimits} from '@siskinhub/core/program/program-limits.js';
import type {Refusal} from '@siskinhub/core/refusal/refusal.js';

/** Returns the refusal for the first limit that is exceeded at time `now`, in milliseconds. */
export const checkLimits = (program: OpenProgram, limits: ProgramLimits, worstCaseTokens: number, now: number): Refusal | undefined => {
	if (limits.turns !== undefined && program.nextTurn > limits.turns) {
		return {code: 'limit-reached', message: `The program has had its ${limits.turns} turns; ask the operator to raise the turns cell or start a new program.`};
	}

	if (limits.wallTimeMs !== undefined && now - program.header.startedAt > limits.wallTimeMs) {
		return {code: 'limit-reached', message: 'The program has run for as long as its wall-time cell allows; start a new one.'};
	}

	if (limits.toolTimeMs !== undefined && program.turnEndedAt !== undefined && now - program.turnEndedAt > limits.toolTimeMs) {
		return {code: 'limit-reached', message: 'The program\'s tool took longer than its tool-time cell allows; start a new program.'};
	}

	const remainingTokens = Math.max(0, (limits.programBudget ?? Infinity) - program.spentTokens);
	if (worstCaseTokens > remainingTokens) {
		return {
			code: 'budget-exhausted',
			message: `The call may need ${worstCaseTokens} tokens and the program has ${remainingTokens} left; ask for fewer output tokens or a larger program-budget cell.`,
		};
	}

	return undefined;
};
