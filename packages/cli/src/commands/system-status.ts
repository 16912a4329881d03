/**
The `siskinhub system status` command: prints the declared routes and copy
holders, how far each process has applied the declared changes, and the
upstreams.
*/
import {findStuckGroups} from '@siskinhub/gateway/inspect/find-stuck-groups.js';
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

const renderGroups = ({disks, groups, retiring}: SystemState): string[] => {
	if (groups.length === 0) {
		return [`There are no replica groups yet (${disks.length} disks are registered): no turn can be kept.`];
	}

	const sizes = groups.map(({current}) => current.length);
	const lines = [`Replica groups: ${groups.length} with ${Math.min(...sizes)} to ${Math.max(...sizes)} copy holders each, of ${disks.length} registered disks.`];
	for (const {group, version, current, next} of groups.filter(each => each.next)) {
		lines.push(`Group ${group} (list ${version}) changes from ${current.map(({host}) => host).join(', ')} to ${next!.map(({host}) => host).join(', ')}.`);
	}

	return retiring.length > 0 ? [...lines, `To be emptied: ${retiring.join(', ')}.`] : lines;
};

const renderStuckGroups = (state: SystemState, losses: number): string[] => findStuckGroups(state, losses).map(({group, version, missing, needed}) =>
	`Group ${group} (list ${version}) has no read quorum, so turns of its programs are refused: no answer from ${missing.map(({host, diskId}) => `${host} (disk ${diskId})`).join(', ')}; ${needed} of them must come back with that disk.`);

const renderUpstreams = ({upstreams}: SystemState): string => renderGrid(
	['upstream', 'service', 'address', 'data centre', 'slots', 'state'],
	upstreams.toSorted((a, b) => a.service.localeCompare(b.service) || a.id.localeCompare(b.id))
		.map(({id, service, address, dataCentre, slots, isLeaving, coldMs}) => [id, service, address, dataCentre, slots, isLeaving ? 'leaving' : (coldMs > 0 ? `slow for ${coldMs} ms more` : 'ready')]),
);

export class SystemStatus extends SystemCommand {
	static override summary = 'Show the state of a system on the platform\'s machines: routes, processes, copies, upstreams.';

	async run(): Promise<unknown> {
		const {flags} = await this.parse(SystemStatus);
		const {state, losses} = await this.withSystem(flags.settings, async system => ({state: await this.readState(system, system.addresses), losses: system.losses}));
		for (const text of [renderRoutes(state), ...renderGroups(state), ...renderStuckGroups(state, losses), renderMembers(state), renderUpstreams(state)]) {
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
