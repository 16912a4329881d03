/**
The requests that the clients of a proof send to entries.
*/
import type {Operation} from '../history/operation.js';
import type {ClientCall} from './client-call.js';
import type {CallResult} from './call-result.js';
import type {EntryTarget} from './entry-target.js';

/** Sends requests on behalf of one workspace; each method resolves with the recorded operation, whatever its outcome. */
export type EntryClient = {
	readonly startProgram: (entry: EntryTarget, body: Record<string, unknown>, alias: string) => Promise<Operation>;
	readonly call: (entry: EntryTarget, call: ClientCall) => Promise<CallResult>;
	/** Attaches to a call; `received` is the text that earlier attempts received. */
	readonly attach: (entry: EntryTarget, call: ClientCall, received: string) => Promise<CallResult>;
	readonly readHistory: (entry: EntryTarget, program: string, alias: string) => Promise<Operation>;
	readonly endProgram: (entry: EntryTarget, program: string) => Promise<Operation>;
	readonly close: () => Promise<void>;
};
