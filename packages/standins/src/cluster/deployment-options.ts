/**
Options of a deployment on the loopback interface.
*/

/** Settings of every entry or every sidecar; they override the top-level keys that `startDeployment` writes. */
type SettingsOverride = Readonly<Record<string, unknown>>;

/** Number of processes of each kind, what they serve and how fast the stand-ins are. */
export type DeploymentOptions = {
	/** Folder of the workspace with the built bundles. */
	readonly root: string;
	readonly entries: number;
	readonly engines: number;
	readonly services: number;
	/** The model that every engine serves. */
	readonly model: string;
	/** The service that every plain service provides. */
	readonly service: string;
	/** Names that are assigned to the processes in turn. */
	readonly dataCentres: readonly string[];
	/** Requests that an upstream takes at the same time. */
	readonly slots?: number;
	/** Time between two tokens of an engine's response. */
	readonly tokenDelayMs?: number;
	readonly entrySettings?: SettingsOverride;
	readonly sidecarSettings?: SettingsOverride;
};
