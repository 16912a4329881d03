/**
Resolves the settings of an entry when it starts.
*/
import type {DataCentreId} from '@siskinhub/core/ids/data-centre-id.js';
import type {HostId} from '@siskinhub/core/ids/host-id.js';
import type * as z from 'zod';
import type {EntrySettingsSchema} from './entry-settings-schema.js';
import {resolvePeer} from './resolve-peer.js';
import {resolveTraces} from './resolve-traces.js';
import type {ResolvedEntryConfig} from './resolved-entry-config.js';

/** Fills in the defaults that depend on other settings, and brands the ids. */
export const resolveEntryConfig = (settings: z.output<typeof EntrySettingsSchema>): ResolvedEntryConfig => ({
	...settings,
	host: settings.host as HostId,
	dataCentre: settings.dataCentre as DataCentreId,
	region: settings.region ?? settings.dataCentre,
	peer: resolvePeer(settings.peer),
	traces: resolveTraces(settings.traces),
});
