/**
Rebuilds the owner's view of a program from its history and the shard's log.
*/
import {Buffer} from 'node:buffer';
import type {ProgramHistory} from '@siskinhub/core/history/program-history.js';
import type {TurnNumber} from '@siskinhub/core/ids/turn-number.js';
import type {RequestId} from '@siskinhub/core/ids/request-id.js';
import {createOpenProgram} from '@siskinhub/core/owner/create-open-program.js';
import type {OpenProgram} from '@siskinhub/core/owner/open-program.js';
import type {ShardLogState} from '@siskinhub/core/owner/shard-log-state.js';

type ProgramRequests = ShardLogState['programs'][string];

const applyTurns = (program: OpenProgram, {turns}: ProgramHistory): void => {
	for (const turn of turns) {
		program.storedTurns.set(turn.requestId, turn.turn);
		const tokens = turn.promptTokens + turn.outputTokens;
		program.spentTokens += tokens;
		// A model's prompt contains all earlier turns; the turn of a plain service is added to them.
		program.historyTokens = tokens > 0 ? tokens : program.historyTokens + Buffer.byteLength(turn.input) + Buffer.byteLength(turn.output);
		program.digest = turn.digest;
	}

	program.nextTurn = (turns.length + 1) as TurnNumber;
};

const applyLog = (program: OpenProgram, logged: ProgramRequests): void => {
	for (const {requestId, fate} of logged.closed) {
		program.closed.set(requestId as RequestId, fate);
	}

	const claim = logged.claims.find(candidate => !program.storedTurns.has(candidate.requestId) && candidate.turn === program.nextTurn);
	if (!claim) {
		return;
	}

	program.current = {
		requestId: claim.requestId,
		turn: claim.turn,
		idempotent: false,
		fingerprint: '',
		state: 'granted',
		cancelled: false,
		deadlineAt: program.lastSeenAt,
		grant: {
			claim: claim.claim,
			sequence: claim.grantSequence,
			upstream: claim.upstream,
			sidecarAddress: claim.sidecarAddress,
			sidecarInstance: claim.sidecarInstance,
			reservedTokens: 0,
			epoch: claim.epoch,
			inherited: true,
			maxOutputTokens: 0,
			runAlone: false,
		},
	};
};

/** A claim without a stored turn becomes the current call, which may only be attached to. */
export const restoreProgram = (history: ProgramHistory, logged: ProgramRequests | undefined, now: number): OpenProgram => {
	const program = createOpenProgram(history.header, now);
	applyTurns(program, history);
	program.inheritedTurn = program.nextTurn;
	program.ended = history.ended;
	if (logged) {
		applyLog(program, logged);
	}

	return program;
};
