/**
The `siskinhub system routes` command: prints the declared routes or, with
`--diff`, what the configuration in a file would change.
*/
import {readFile} from 'node:fs/promises';
import {Flags} from '@oclif/core';
import {diffRoutes} from '@siskinhub/gateway/inspect/diff-routes.js';
import type {Route} from '@siskinhub/gateway/routes/route.js';
import {ResultAsync} from 'neverthrow';
import {EXIT_CODE} from '../command/exit-code.js';
import {SystemCommand} from '../command/system-command.js';
import {renderGrid} from '../format/render-grid.js';

type Change = ReturnType<typeof diffRoutes>[number];

const renderRoutes = (routes: readonly Route[]): string => renderGrid(
	['route', 'host', 'prefix', 'kind', 'services (weight)', 'timeout (ms)', 'objective (ms)', 'runs', 'rank (0 first)', 'turns kept (ms)'],
	routes.map(({name, host, prefix, kind, targets, timeoutMs, objectiveMs, maxRuns, rank, keepsTurns, retentionMs}) =>
		[name, host, prefix, kind, targets.map(({service, weight}) => `${service} (${weight})`).join(', '), timeoutMs, objectiveMs, maxRuns, rank, keepsTurns ? retentionMs : '']),
);

const describeChange = (change: Change): string => change.kind === 'changed'
	? `${change.route}: ${change.field} ${change.from} -> ${change.to}`
	: `${change.route}: ${change.kind}`;

export class SystemRoutes extends SystemCommand {
	static override summary = 'Show the declared routes of a system on the platform\'s machines, or what a configuration in a file would change.';
	static override flags = {diff: Flags.string({description: 'JSON file with a configuration to compare with'})};

	async run(): Promise<unknown> {
		const {flags} = await this.parse(SystemRoutes);
		return this.withSystem(flags.settings, async system => {
			const {routes} = await this.readState(system, []);
			if (!routes || 'error' in routes) {
				return this.fail({code: 'no-routes', message: routes ? `The declared routes cannot be read: ${routes.error}` : 'No routes are declared yet.', exitCode: EXIT_CODE.FAILED});
			}

			if (flags.diff === undefined) {
				this.log(`Version ${routes.version}`);
				this.log(renderRoutes(routes.routes));
				return routes;
			}

			const wanted = system.decodeRoutes(await this.read(flags.diff));
			if (wanted.isErr()) {
				return this.fail({code: 'settings', message: `${flags.diff}: ${wanted.error}`, exitCode: EXIT_CODE.FAILED});
			}

			const changes = diffRoutes(routes.routes, wanted.value.routes);
			this.log(changes.length === 0 ? `No route would change (version ${routes.version} is declared, the file has ${wanted.value.version}).` : changes.map(change => describeChange(change)).join('\n'));
			return {declared: routes.version, file: wanted.value.version, changes};
		});
	}

	private async read(file: string): Promise<string> {
		const text = await ResultAsync.fromPromise(readFile(file, 'utf8'), error => (error as NodeJS.ErrnoException).code ?? String(error));
		return text.isOk() ? text.value : this.fail({code: 'usage', message: `${file} cannot be read: ${text.error}.`, exitCode: EXIT_CODE.USAGE});
	}
}
