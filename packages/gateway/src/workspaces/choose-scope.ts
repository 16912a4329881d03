/**
Chooses the scope of a call's ids, see `scopeId`.
*/
import type {CallerIdentity} from './caller-identity.js';

/** Calls on open routes belong to no workspace, and share a scope of their own. */
const OPEN_SCOPE = '';

/** Returns nothing where no workspaces are declared. */
export const chooseScope = (identity: CallerIdentity, declaresWorkspaces: boolean): string | undefined => {
	if (identity.kind === 'workspace') {
		return identity.workspace.name;
	}

	return declaresWorkspaces ? OPEN_SCOPE : undefined;
};
