/**
The size and the timing of a deployment on the loopback interface.
*/

/** Settings that every entry or every sidecar takes, merged over those that `startDeployment` writes. */
type SettingsOverride = Readonly<Record<string, unknown>>;

/** Counts of processes, and how they and the stand-ins behave. */
export type DeploymentOptions = {
	/** Folder of the workspace with the built bundles. */
	readonly root: string;
	readonly entries: number;
	readonly engines: number;
	readonly services: number;
	readonly model: string;
	readonly service: string;
	/** Names that the processes take in turn. */
	readonly dataCentres: readonly string[];
	readonly slots?: number;
	readonly tokenDelayMs?: number;
	readonly entrySettings?: SettingsOverride;
	readonly sidecarSettings?: SettingsOverride;
};
