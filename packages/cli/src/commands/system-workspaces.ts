/**
The `siskinhub system workspaces` command: prints the declared workspaces, without
their keys.
*/
import type {WorkspaceState} from '@siskinhub/gateway/inspect/workspace-state.js';
import {EXIT_CODE} from '../command/exit-code.js';
import {SystemCommand} from '../command/system-command.js';
import {renderGrid} from '../format/render-grid.js';

const renderWorkspaces = (workspaces: readonly WorkspaceState[]): string => renderGrid(
	['workspace', 'rank (0 first)', 'requests/s', 'burst', 'keys'],
	workspaces.map(({name, rank, ratePerS, burst, keys}) => [name, rank, ratePerS === 0 ? 'no limit' : ratePerS, ratePerS === 0 ? '' : burst, keys]),
);

export class SystemWorkspaces extends SystemCommand {
	static override summary = 'Show the declared workspaces of a system on the platform\'s machines.';

	async run(): Promise<unknown> {
		const {flags} = await this.parse(SystemWorkspaces);
		return this.withSystem(flags.settings, async system => {
			const {routes} = await this.readState(system, []);
			if (!routes || 'error' in routes) {
				return this.fail({code: 'no-routes', message: routes ? `The declared state cannot be read: ${routes.error}` : 'No workspaces are declared yet.', exitCode: EXIT_CODE.FAILED});
			}

			const {version, workspaces} = routes;
			this.log(workspaces ? `Version ${version}\n${renderWorkspaces(workspaces)}` : `Version ${version} declares no workspaces: callers need no key.`);
			return {version, workspaces};
		});
	}
}
