/**
Polls the platform's list of hosts and keeps the last list while the platform is
down. The interval grows with the length of the list. Nothing urgent depends on
the list: sidecars report themselves that they are leaving, and owners are found
by their leases.
*/
import {isDeepStrictEqual} from 'node:util';
import type {PlatformClient} from '@siskinhub/platform/platform-client.js';
import type {PlatformHost} from '@siskinhub/platform/platform-host.js';
import type {HostDirectory} from './host-directory.js';

const MIN_REFRESH_INTERVAL_MS = 2000;
const MAX_REFRESH_INTERVAL_MS = 90_000;
/** The list grows with the fleet; an interval in proportion to its length keeps the bytes read per second constant. */
const REFRESH_MS_PER_HOST = 20;

const groupByTarget = (sidecars: readonly PlatformHost[]): ReadonlyMap<string, readonly PlatformHost[]> => {
	const groups = new Map<string, PlatformHost[]>();
	for (const sidecar of sidecars) {
		const target = sidecar.upstream?.target ?? '';
		groups.set(target, [...groups.get(target) ?? [], sidecar]);
	}

	return groups;
};

type DirectoryOptions = {
	readonly platform: PlatformClient;
	/** Sidecars of other regions are left out. */
	readonly region: string;
	readonly onChange: () => void;
};

/** Starts polling; the directory is empty until the first refresh, which the caller should await. */
export const createHostDirectory = ({platform, region, onChange}: DirectoryOptions): HostDirectory => {
	const isInRegion = (host: PlatformHost) => host.region === undefined || host.region === region;
	let hosts: readonly PlatformHost[] = [];
	let entries: readonly PlatformHost[] = [];
	let sidecars: readonly PlatformHost[] = [];
	let sidecarsByTarget: ReadonlyMap<string, readonly PlatformHost[]> = new Map();
	let sidecarsById: ReadonlyMap<string, PlatformHost> = new Map();
	const refresh = async () => {
		const listed = await platform.listHosts();
		if (listed.isOk() && !isDeepStrictEqual(listed.value, hosts)) {
			hosts = listed.value;
			entries = listed.value.filter(host => host.role === 'entry');
			sidecars = listed.value.filter(host => host.role === 'sidecar' && isInRegion(host));
			sidecarsByTarget = groupByTarget(sidecars);
			sidecarsById = new Map(sidecars.map(host => [host.id, host]));
			onChange();
		}
	};

	let timer: NodeJS.Timeout | undefined;
	const scheduleRefresh = () => {
		const intervalMs = Math.min(MAX_REFRESH_INTERVAL_MS, Math.max(MIN_REFRESH_INTERVAL_MS, hosts.length * REFRESH_MS_PER_HOST));
		timer = setTimeout(() => {
			void (async () => {
				await refresh();
				scheduleRefresh();
			})();
		}, intervalMs);
		timer.unref();
	};

	scheduleRefresh();
	return {
		entries: () => entries,
		sidecars: () => sidecars,
		sidecarsFor: target => sidecarsByTarget.get(target) ?? [],
		findSidecar: id => sidecarsById.get(id),
		refresh,
		stop() {
			clearTimeout(timer);
		},
	};
};
