/**
Reads the limit of a workspace in the declared routes in force. A call that waits was
planned by an earlier revision.
*/
import type {DeclaredRoutes} from '../routes/declared-routes.js';
import type {RouteTable} from '../routes/route-table.js';
import type {Workspace} from '../workspaces/workspace.js';
import type {QuotaLimit} from './quota-limit.js';

/** The returned function returns `undefined` for a workspace without a limit; one that was removed keeps the limit that it had. */
export const createLimitReader = (routes: Pick<RouteTable, 'current'>): ((workspace: Workspace) => QuotaLimit | undefined) => {
	let indexed: DeclaredRoutes | undefined;
	let limits = new Map<string, QuotaLimit | undefined>();

	const toLimit = ({ratePerS, burst}: Workspace, version: number): QuotaLimit | undefined => ratePerS > 0 ? {ratePerS, burst, version} : undefined;

	return workspace => {
		const current = routes.current();
		if (current !== indexed) {
			indexed = current;
			limits = new Map(current?.workspaces?.map(declared => [declared.name, toLimit(declared, current.version)]));
		}

		return limits.has(workspace.name) ? limits.get(workspace.name) : toLimit(workspace, 0);
	};
};
