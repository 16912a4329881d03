/**
Counts requests by workspace and outcome: the named workspaces each, the rest together,
so that the number of time series stays bounded.
*/

/** Label of the workspaces that are not counted by name. */
const OTHER_WORKSPACES = '(others)';

type Count = {readonly workspace: string; readonly outcome: string; readonly count: number};

/** `listNamed` returns the workspaces that are counted by name now; the counts of one that is no longer are dropped. */
export const createWorkspaceCounts = (listNamed: () => ReadonlySet<string>) => {
	const byWorkspace = new Map<string, Map<string, number>>();
	return {
		add(name: string, outcome: string): void {
			const workspace = listNamed().has(name) ? name : OTHER_WORKSPACES;
			const byOutcome = byWorkspace.get(workspace) ?? new Map<string, number>();
			byWorkspace.set(workspace, byOutcome);
			byOutcome.set(outcome, (byOutcome.get(outcome) ?? 0) + 1);
		},
		list(): readonly Count[] {
			for (const workspace of byWorkspace.keys()) {
				if (workspace !== OTHER_WORKSPACES && !listNamed().has(workspace)) {
					byWorkspace.delete(workspace);
				}
			}

			return [...byWorkspace].flatMap(([workspace, byOutcome]) => [...byOutcome].map(([outcome, count]) => ({workspace, outcome, count})));
		},
	};
};
