/**
Chooses the workspaces that have metrics of their own, so that the number of time
series stays bounded.

By what is declared and not by what they send: so all gateways choose the same, and no
counter falls while the declared state stays.
*/
import type {DeclaredRoutes} from '../routes/declared-routes.js';
import type {Workspace} from './workspace.js';

const MAX_NAMED = 20;

/** A workspace without a limit is the largest. */
const compareBySize = (a: Workspace, b: Workspace): number => ((b.ratePerS || Infinity) === (a.ratePerS || Infinity) ? 0 : (b.ratePerS || Infinity) - (a.ratePerS || Infinity)) || a.name.localeCompare(b.name, 'en');

/** The returned function may be called for each request. */
export const createLargestWorkspaces = (readDeclared: () => DeclaredRoutes | undefined): (() => ReadonlySet<string>) => {
	let chosenFrom: DeclaredRoutes | undefined;
	let chosen: ReadonlySet<string> = new Set();
	return () => {
		const declared = readDeclared();
		if (declared !== chosenFrom) {
			chosenFrom = declared;
			chosen = new Set([...declared?.workspaces ?? []].sort(compareBySize).slice(0, MAX_NAMED).map(({name}) => name));
		}

		return chosen;
	};
};
