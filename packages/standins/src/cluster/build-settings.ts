/**
Builds the settings of the entries and sidecars of a deployment on the loopback
interface.
*/
const LOOPBACK = '127.0.0.1';
const DATA_FOLDER_SUFFIX = 'data';

type DaemonSettingsOptions = {
	readonly host: string;
	readonly dataCentre: string;
	readonly peerPort: number;
};

type EntrySettingsOptions = DaemonSettingsOptions & {
	readonly httpPort: number;
	readonly platformAddress: string;
	readonly folder: string;
};

type SidecarSettingsOptions = DaemonSettingsOptions & {
	readonly upstream: Readonly<Record<string, unknown>>;
};

const buildCommonSettings = ({host, dataCentre, peerPort}: DaemonSettingsOptions) => ({
	host,
	dataCentre,
	peer: {ip: LOOPBACK, port: peerPort},
});

/** Returns plain objects; a settings file may hold them as JSON, because JSON is valid YAML. */
export const buildSettings = {
	entry: (options: EntrySettingsOptions) => ({
		...buildCommonSettings(options),
		http: {ip: LOOPBACK, port: options.httpPort},
		dataFolder: `${options.folder}/${options.host}-${DATA_FOLDER_SUFFIX}`,
		platform: {address: options.platformAddress},
	}),
	sidecar: (options: SidecarSettingsOptions) => ({
		...buildCommonSettings(options),
		upstream: options.upstream,
	}),
};
