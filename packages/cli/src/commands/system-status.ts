/**
The `siskinhub system status` command: prints the declared routes and copy
holders, how far each process has applied the declared changes, and the
upstreams.
*/
import type {SystemState} from '@siskinhub/gateway/inspect/system-state.js';
import {EXIT_CODE} from '../command/exit-code.js';
import {SystemCommand} from '../command/system-command.js';
import {renderGrid} from '../format/render-grid.js';

const renderRoutes = ({routes, revision}: SystemState): string => {
	if (!routes) {
		return `No routes are declared yet (revision ${revision}).`;
	}

	return 'error' in routes
		? `The declared routes cannot be read, so the processes keep the last valid ones: ${routes.error} (revision ${revision}).`
		: `Routes: version ${routes.version}, ${routes.routes.length} of them (revision ${revision}).`;
};

const renderMembers = ({members}: SystemState): string => renderGrid(
	['process', 'host', 'data centre', 'copies on disk', 'changes behind'],
	members.map(({address, host, dataCentre, diskId, changesBehind}) => [address, host ?? 'no answer', dataCentre, diskId, changesBehind]),
);

const renderHolders = ({holders, retiring}: SystemState): string[] => {
	const lines = holders
		? [`Copy holders: list ${holders.version}, ${holders.current.map(({host}) => host).join(', ')}${holders.next ? `; changing to ${holders.next.map(({host}) => host).join(', ')}` : ''}.`]
		: ['There is no list of copy holders yet: no turn can be kept.'];
	return retiring.length > 0 ? [...lines, `To be emptied: ${retiring.join(', ')}.`] : lines;
};

const renderUpstreams = ({upstreams}: SystemState): string => renderGrid(
	['upstream', 'service', 'address', 'data centre', 'slots', 'state'],
	upstreams.toSorted((a, b) => a.service.localeCompare(b.service) || a.id.localeCompare(b.id))
		.map(({id, service, address, dataCentre, slots, isLeaving, coldMs}) => [id, service, address, dataCentre, slots, isLeaving ? 'leaving' : (coldMs > 0 ? `slow for ${coldMs} ms more` : 'ready')]),
);

export class SystemStatus extends SystemCommand {
	static override summary = 'Show the state of a system on the platform\'s machines: routes, processes, copies, upstreams.';

	async run(): Promise<unknown> {
		const {flags} = await this.parse(SystemStatus);
		const state = await this.withSystem(flags.settings, async system => this.readState(system, system.addresses));
		for (const text of [renderRoutes(state), ...renderHolders(state), renderMembers(state), renderUpstreams(state)]) {
			this.log(text);
		}

		for (const {id, reason} of state.unreadable) {
			this.log(`The entry ${id} does not describe an upstream: ${reason}`);
		}

		const silent = state.members.filter(({host}) => host === undefined).map(({address}) => address);
		return silent.length === 0
			? state
			: this.fail({
				code: 'unreachable', message: `No answer from ${silent.join(', ')}. It may be down, cut off or replaced; addresses from the settings file may be out of date.`, exitCode: EXIT_CODE.FAILED, details: {state},
			});
	}
}
