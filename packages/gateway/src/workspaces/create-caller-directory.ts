/**
Tells who sent a request, by the declared state in force.
*/
import type {DeclaredRoutes} from '../routes/declared-routes.js';
import type {RouteTable} from '../routes/route-table.js';
import type {CallerDirectory} from './caller-directory.js';
import type {CallerIdentity} from './caller-identity.js';
import {indexKeys} from './index-keys.js';

type DirectoryOptions = {
	readonly routes: Pick<RouteTable, 'current' | 'match'>;
	/** Whether a key may have been revoked for too long without this process knowing. */
	readonly isOutdated: () => boolean;
};

const OPEN: CallerIdentity = {kind: 'open'};
const UNKNOWN_KEY: CallerIdentity = {kind: 'unknown-key'};
const UNDECLARED: CallerIdentity = {kind: 'undeclared'};

/** A route that is not declared is not open. */
export const createCallerDirectory = ({routes, isOutdated}: DirectoryOptions): CallerDirectory => {
	let indexed: DeclaredRoutes | undefined;
	let find = indexKeys([]);
	return {
		identify({keyHash, host, path}) {
			const declared = routes.current();
			if (!declared) {
				return UNDECLARED;
			}

			if (!declared.workspaces || routes.match(host, path)?.isOpen) {
				return OPEN;
			}

			if (isOutdated()) {
				return UNDECLARED;
			}

			if (indexed !== declared) {
				indexed = declared;
				find = indexKeys(declared.workspaces);
			}

			const workspace = keyHash && find(keyHash);
			return workspace ? {kind: 'workspace', workspace} : UNKNOWN_KEY;
		},
		declaresWorkspaces: () => routes.current()?.workspaces !== undefined,
	};
};
