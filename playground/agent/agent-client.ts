/**
The client interface that an agent program uses. `title` names each request in the
timeline.
*/
import type {AgentCall} from './agent-call.js';

type HistoryView = {
	readonly turns: ReadonlyArray<{readonly turn: number; readonly requestId: string; readonly output: string}>;
};

/** Every method rejects when the system refuses the request. */
export type AgentClient = {
	/** Resolves with the program's id. */
	readonly startProgram: (title: string, body: {readonly kind: string; readonly deployment: string; readonly parent?: string}) => Promise<string>;
	/** Resolves with the complete output text. */
	readonly call: (title: string, call: AgentCall) => Promise<string>;
	readonly readHistory: (title: string, program: string) => Promise<HistoryView>;
	readonly endProgram: (title: string, program: string) => Promise<void>;
};
