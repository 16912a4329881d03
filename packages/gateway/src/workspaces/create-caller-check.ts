/**
Checks while a request waits whether it may still be sent for the caller who sent it.

Expected load: keys are revoked or moved while thousands of requests wait for tokens,
permits, connections or another attempt.
*/
import type {CallHead} from '../call/call-head.js';
import type {CallerDirectory} from './caller-directory.js';
import type {CallerIdentity} from './caller-identity.js';

/** `changed`: the caller may be served, but not as what the request was prepared for; its next attempt is. */
type CallerStanding = 'same' | 'changed' | 'unknown-key' | 'undeclared';

const nameWorkspace = (identity: CallerIdentity): string | undefined => identity.kind === 'workspace' ? identity.workspace.name : undefined;

/** `before` is what the request was prepared for, under a declared state that tells workspaces apart or not. */
export const createCallerCheck = (callers: CallerDirectory, call: CallHead, before: CallerIdentity): (() => CallerStanding) => {
	const declaredWorkspaces = callers.declaresWorkspaces();
	return () => {
		const now = callers.identify(call);
		if (now.kind === 'unknown-key' || now.kind === 'undeclared') {
			return now.kind;
		}

		const isSame = now.kind === before.kind && nameWorkspace(now) === nameWorkspace(before) && callers.declaresWorkspaces() === declaredWorkspaces;
		return isSame ? 'same' : 'changed';
	};
};
