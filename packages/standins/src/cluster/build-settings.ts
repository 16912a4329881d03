/**
Settings of the daemons of a deployment on the loopback interface.
*/
const LOOPBACK = '127.0.0.1';
const HISTORY_FOLDER_SUFFIX = 'data';

type ProcessPlace = {
	readonly host: string;
	readonly dataCentre: string;
	readonly peerPort: number;
};

type EntryPlace = ProcessPlace & {
	readonly httpPort: number;
	readonly platformAddress: string;
	readonly folder: string;
};

type SidecarPlace = ProcessPlace & {
	readonly upstream: Readonly<Record<string, unknown>>;
};

const buildCommon = ({host, dataCentre, peerPort}: ProcessPlace) => ({
	host,
	dataCentre,
	peer: {ip: LOOPBACK, port: peerPort},
});

/** Plain objects; JSON is YAML. */
export const buildSettings = {
	entry: (place: EntryPlace) => ({
		...buildCommon(place),
		http: {ip: LOOPBACK, port: place.httpPort},
		dataFolder: `${place.folder}/${place.host}-${HISTORY_FOLDER_SUFFIX}`,
		platform: {address: place.platformAddress},
	}),
	sidecar: (place: SidecarPlace) => ({
		...buildCommon(place),
		upstream: place.upstream,
	}),
};
