/**
A call of a program, after its HTTP body was validated.
*/
import type {TurnRecord} from '@siskinhub/core/history/turn-record.js';
import type {ProgramId} from '@siskinhub/core/ids/program-id.js';
import type {RequestId} from '@siskinhub/core/ids/request-id.js';
import type {TurnNumber} from '@siskinhub/core/ids/turn-number.js';
import type {WorkspaceId} from '@siskinhub/core/ids/workspace-id.js';

type CallTarget =
	| {readonly kind: 'model'; readonly model: string}
	| {readonly kind: 'service'; readonly service: string; readonly operation: string};

export type CallRequest = {
	readonly program: ProgramId;
	readonly workspace: WorkspaceId;
	readonly turn: TurnNumber;
	readonly requestId: RequestId;
	readonly idempotent: boolean;
	readonly deadlineMs: number;
	readonly target: CallTarget;
	/** Chat messages, or the input of a plain service. */
	readonly input: unknown;
	readonly maxOutputTokens: number;
	/** Digest of the history that the caller built on; empty if the caller gave none. */
	readonly after: string;
	/** The whole history, from which lost copies are restored; only if the caller sent it. */
	readonly history?: readonly TurnRecord[];
};
