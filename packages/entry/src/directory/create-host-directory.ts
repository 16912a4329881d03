/**
Reads the platform's list of hosts at a slow beat and keeps the last one while
the platform is down.
*/
import type {PlatformClient} from '@siskinhub/platform/platform-client.js';
import type {PlatformHost} from '@siskinhub/platform/platform-host.js';
import type {HostDirectory} from './host-directory.js';

const REFRESH_INTERVAL_MS = 2000;

/** Starts the beat; the directory is empty until `refresh` was awaited once. */
export const createHostDirectory = (platform: PlatformClient, onChange: () => void): HostDirectory => {
	let hosts: readonly PlatformHost[] = [];
	const refresh = async () => {
		const listed = await platform.listHosts();
		if (listed.isOk()) {
			hosts = listed.value;
			onChange();
		}
	};

	const timer = setInterval(() => {
		void refresh();
	}, REFRESH_INTERVAL_MS);
	timer.unref();
	return {
		entries: () => hosts.filter(host => host.role === 'entry'),
		sidecars: () => hosts.filter(host => host.role === 'sidecar'),
		refresh,
		stop() {
			clearInterval(timer);
		},
	};
};
