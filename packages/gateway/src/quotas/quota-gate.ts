/**
Keeps the requests of each workspace within its quota over all gateways together.
*/
import type {CallHead} from '../call/call-head.js';
import type {Workspace} from '../workspaces/workspace.js';
import type {QuotaDecision} from './quota-decision.js';

/** Used only for workspaces with a limit. */
export type QuotaGate = {
	/** Decides before the body is read, without a message. A program is turned away at its first call if the quota does not carry it beside those under way. */
	readonly admit: (call: CallHead, workspace: Workspace, route: string) => QuotaDecision;
	/** Takes one request of the quota. Must be called right before each send to an upstream: first ones, retries and extra copies. */
	readonly acquire: (call: CallHead, workspace: Workspace) => QuotaDecision | Promise<QuotaDecision>;
	/** Takes one request for an extra copy, only of what is in hand and not needed soon; returns whether there was one. */
	readonly takeSpare: (workspace: Workspace) => boolean;
	/** Gives back what `acquire` took for a request that has proved not to have run. */
	readonly giveBack: (workspace: Workspace) => void;
};
