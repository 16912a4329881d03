/**
Finds what makes declared workspaces ambiguous.
*/
import type {Workspace} from './workspace.js';

/** Returns what is wrong, without any key; `undefined` if every name and every key belongs to one workspace. */
export const findWorkspaceFault = (workspaces: readonly Workspace[]): string | undefined => {
	const names = new Set<string>();
	const holders = new Map<string, string>();
	for (const {name, keyHashes} of workspaces) {
		if (names.has(name)) {
			return `two workspaces are named ${name}; give each a name of its own`;
		}

		names.add(name);
		for (const hash of keyHashes) {
			const other = holders.get(hash);
			if (other !== undefined) {
				return `the workspaces ${other} and ${name} hold the same key; take it from one of them`;
			}

			holders.set(hash, name);
		}
	}

	return undefined;
};
