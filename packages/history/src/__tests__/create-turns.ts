/**
Builds valid histories for tests.
*/
import {computeDigest} from '@siskinhub/core/history/compute-digest.js';
import type {ProgramHeader} from '@siskinhub/core/history/program-header.js';
import type {TurnRecord} from '@siskinhub/core/history/turn-record.js';
import type {Digest} from '@siskinhub/core/ids/digest.js';
import type {ProgramId} from '@siskinhub/core/ids/program-id.js';
import type {RequestId} from '@siskinhub/core/ids/request-id.js';
import type {TurnNumber} from '@siskinhub/core/ids/turn-number.js';
import type {WorkspaceId} from '@siskinhub/core/ids/workspace-id.js';

/** Returns a header and a valid chain of `count` turns whose texts contain the program id and end with `label`. */
export const createTurns = (program: string, count: number, label = ''): {header: ProgramHeader; turns: TurnRecord[]} => {
	const id = program as ProgramId;
	const turns: TurnRecord[] = [];
	for (let number = 1; number <= count; number++) {
		const turn = {
			program: id,
			turn: number as TurnNumber,
			requestId: `r${number}` as RequestId,
			previous: turns.at(-1)?.digest ?? '' as Digest,
			input: JSON.stringify([{role: 'user', content: `${program} asks ${number}`}]),
			output: `${program} is told ${number}${label}\n\tñ`,
			promptTokens: number,
			outputTokens: 2,
			finish: 'stop',
		};
		turns.push({...turn, digest: computeDigest(turn)});
	}

	return {
		header: {
			program: id, workspace: 'w' as WorkspaceId, kind: 'k', deployment: 'd', startedAt: 0,
		},
		turns,
	};
};
