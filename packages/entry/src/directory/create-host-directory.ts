/**
Reads the platform's list of hosts at a slow beat and keeps the last one while
the platform is down.
*/
import type {PlatformClient} from '@siskinhub/platform/platform-client.js';
import type {PlatformHost} from '@siskinhub/platform/platform-host.js';
import type {HostDirectory} from './host-directory.js';

const REFRESH_INTERVAL_MS = 2000;

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

/** Starts the beat; the directory is empty until `refresh` was awaited once. */
export const createHostDirectory = ({platform, region, onChange}: DirectoryOptions): HostDirectory => {
	const isInRegion = (host: PlatformHost) => host.region === undefined || host.region === region;
	let entries: readonly PlatformHost[] = [];
	let sidecars: readonly PlatformHost[] = [];
	let sidecarsByTarget: ReadonlyMap<string, readonly PlatformHost[]> = new Map();
	let sidecarsById: ReadonlyMap<string, PlatformHost> = new Map();
	const refresh = async () => {
		const listed = await platform.listHosts();
		if (listed.isOk()) {
			entries = listed.value.filter(host => host.role === 'entry');
			sidecars = listed.value.filter(host => host.role === 'sidecar' && isInRegion(host));
			sidecarsByTarget = groupByTarget(sidecars);
			sidecarsById = new Map(sidecars.map(host => [host.id, host]));
			onChange();
		}
	};

	const timer = setInterval(() => {
		void refresh();
	}, REFRESH_INTERVAL_MS);
	timer.unref();
	return {
		entries: () => entries,
		sidecars: () => sidecars,
		sidecarsFor: target => sidecarsByTarget.get(target) ?? [],
		findSidecar: id => sidecarsById.get(id),
		refresh,
		stop() {
			clearInterval(timer);
		},
	};
};
