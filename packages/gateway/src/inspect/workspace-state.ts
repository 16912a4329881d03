/**
A declared workspace as it is shown to operators, without its keys.
*/
import type {Workspace} from '../workspaces/workspace.js';

export type WorkspaceState = Omit<Workspace, 'keyHashes'> & {
	/** Number of its keys. */
	readonly keys: number;
};
