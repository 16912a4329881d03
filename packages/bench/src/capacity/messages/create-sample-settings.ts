/**
Creates the settings of a link that carries the sample messages.
*/
import {createHeartbeatTicker} from '@siskinhub/peer/create-heartbeat-ticker.js';
import {createPauseDetector} from '@siskinhub/peer/create-pause-detector.js';
import type {LinkSettings} from '@siskinhub/peer/link-settings.js';
import {Role} from '@siskinhub/proto/gen/siskinhub/peer/v1/peer_pb.js';
import {SAMPLE_MESSAGES} from './sample-messages.js';

const HEARTBEAT_INTERVAL_MS = 1000;
/** Longer than any measurement, so that a blocked event loop does not close the link. */
const SILENCE_MS = 60_000;

/** Returns settings for either side; they reply to a grant request with a grant, and to other requests with an acknowledgement. */
export const createSampleSettings = (host: string): LinkSettings => ({
	hello: {
		host, instance: host, role: Role.ENTRY, dataCentre: 'centre-1',
	},
	heartbeatTicker: createHeartbeatTicker(HEARTBEAT_INTERVAL_MS),
	silenceMs: SILENCE_MS,
	createHeartbeat: () => SAMPLE_MESSAGES.heartbeat.value,
	onMessage({body, reply}) {
		reply(body.case === 'grantRequest' ? SAMPLE_MESSAGES.grant : SAMPLE_MESSAGES.acknowledged);
	},
	pauseDetector: createPauseDetector(SILENCE_MS, () => {/* A pause needs no handling here. */}),
});
