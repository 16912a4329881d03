/**
Tells who sent a request.
*/
import type {CallHead} from '../call/call-head.js';
import type {CallerIdentity} from './caller-identity.js';

/** Follows the declared state: a call that waits must be identified again before each attempt. */
export type CallerDirectory = {
	readonly identify: (call: Pick<CallHead, 'keyHash' | 'host' | 'path'>) => CallerIdentity;
	/** Whether the declared state in force tells workspaces apart; `false` as long as none is known. */
	readonly declaresWorkspaces: () => boolean;
};
