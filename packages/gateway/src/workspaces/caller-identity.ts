/**
Who sent a request, as the declared state in force says.
*/
import type {Workspace} from './workspace.js';

/**
`open`: the deployment declares no workspaces, or the route is open to everybody.
`unknown-key`: no key, or one that no workspace holds. `undeclared`: this process
knows no declared state yet, or none that is recent enough to tell.
*/
export type CallerIdentity =
	| {readonly kind: 'workspace'; readonly workspace: Workspace}
	| {readonly kind: 'open' | 'unknown-key' | 'undeclared'};
