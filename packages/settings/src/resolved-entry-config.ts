/**
Type of the settings of an entry with all defaults filled in.
*/
import type {DataCentreId} from '@siskinhub/core/ids/data-centre-id.js';
import type {HostId} from '@siskinhub/core/ids/host-id.js';
import type {TracesConfig} from '@siskinhub/observe/traces-config.js';
import type {resolvePeer} from './resolve-peer.js';
import type {EntrySettingsSchema} from './entry-settings-schema.js';

type EntrySettings = Readonly<ReturnType<typeof EntrySettingsSchema.parse>>;

/** Settings of `siskinhub-entry`; only the data folder, metrics and traces are optional. */
export type ResolvedEntryConfig = Omit<EntrySettings, 'host' | 'dataCentre' | 'region' | 'peer' | 'traces'> & {
	readonly host: HostId;
	readonly dataCentre: DataCentreId;
	readonly region: string;
	readonly peer: ReturnType<typeof resolvePeer>;
	readonly traces?: TracesConfig;
};
