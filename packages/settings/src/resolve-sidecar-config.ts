/**
Resolves the settings of a sidecar when it starts.
*/
import type {DataCentreId} from '@siskinhub/core/ids/data-centre-id.js';
import type {HostId} from '@siskinhub/core/ids/host-id.js';
import type {UpstreamId} from '@siskinhub/core/ids/upstream-id.js';
import type * as z from 'zod';
import {resolvePeer} from './resolve-peer.js';
import {resolveTraces} from './resolve-traces.js';
import type {ResolvedSidecarConfig} from './resolved-sidecar-config.js';
import type {SidecarSettingsSchema} from './sidecar-settings-schema.js';

/** Fills in the defaults that depend on other settings, and brands the ids. */
export const resolveSidecarConfig = (settings: z.output<typeof SidecarSettingsSchema>): ResolvedSidecarConfig => ({
	...settings,
	host: settings.host as HostId,
	dataCentre: settings.dataCentre as DataCentreId,
	peer: resolvePeer(settings.peer),
	upstream: {...settings.upstream, id: settings.upstream.id as UpstreamId},
	traces: resolveTraces(settings.traces),
});
