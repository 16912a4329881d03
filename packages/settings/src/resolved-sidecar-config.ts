/**
Type of the settings of a sidecar with all defaults filled in.
*/
import type {DataCentreId} from '@siskinhub/core/ids/data-centre-id.js';
import type {HostId} from '@siskinhub/core/ids/host-id.js';
import type {UpstreamId} from '@siskinhub/core/ids/upstream-id.js';
import type {TracesConfig} from '@siskinhub/observe/traces-config.js';
import type {resolvePeer} from './resolve-peer.js';
import type {SidecarSettingsSchema} from './sidecar-settings-schema.js';

type SidecarSettings = Readonly<ReturnType<typeof SidecarSettingsSchema.parse>>;

/** Settings of `siskinhub-sidecar`; only metrics and traces are optional. */
export type ResolvedSidecarConfig = Omit<SidecarSettings, 'host' | 'dataCentre' | 'peer' | 'upstream' | 'traces'> & {
	readonly host: HostId;
	readonly dataCentre: DataCentreId;
	readonly peer: ReturnType<typeof resolvePeer>;
	readonly upstream: SidecarSettings['upstream'] & {readonly id: UpstreamId};
	readonly traces?: TracesConfig;
};
