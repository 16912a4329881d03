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

type ProgramEntry = ShardLogState['programs'][string];

const addTurns = (program: OpenProgram, {turns}: ProgramHistory): void => {
	for (const turn of turns) {
		program.stored.set(turn.requestId, turn.turn);
		const tokens = turn.promptTokens + turn.outputTokens;
		program.spentTokens += tokens;
		// A model's prompt holds all turns before it; a plain service's turn adds to the next one.
		program.historyTokens = tokens > 0 ? tokens : program.historyTokens + Buffer.byteLength(turn.input) + Buffer.byteLength(turn.output);
		program.digest = turn.digest;
	}

	program.nextTurn = (turns.length + 1) as TurnNumber;
};

const addClaims = (program: OpenProgram, entry: ProgramEntry): void => {
	for (const {requestId, fate} of entry.closed) {
		program.closed.set(requestId as RequestId, fate);
	}

	const claim = entry.claims.find(candidate => !program.stored.has(candidate.requestId) && candidate.turn === program.nextTurn);
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
export const restoreProgram = (history: ProgramHistory, entry: ProgramEntry | undefined, now: number): OpenProgram => {
	const program = createOpenProgram(history.header, now);
	addTurns(program, history);
	program.inheritedTurn = program.nextTurn;
	program.ended = history.ended;
	if (entry) {
		addClaims(program, entry);
	}

	return program;
};
