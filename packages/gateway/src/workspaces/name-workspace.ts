/**
Names the workspace of a request, for logs and metrics.
*/
import type {CallHead} from '../call/call-head.js';
import type {CallerDirectory} from './caller-directory.js';

/** Returns nothing if the request is on an open route, or cannot be told to be anyone's. */
export const nameWorkspace = (callers: Pick<CallerDirectory, 'identify'>, call: CallHead): string | undefined => {
	const identity = callers.identify(call);
	return identity.kind === 'workspace' ? identity.workspace.name : undefined;
};
