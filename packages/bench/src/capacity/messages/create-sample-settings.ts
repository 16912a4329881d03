/**
Settings of a link that asks and answers sample messages.
*/
import {createPauseDetector} from '@siskinhub/peer/create-pause-detector.js';
import type {LinkSettings} from '@siskinhub/peer/link-settings.js';
import {Role} from '@siskinhub/proto/gen/siskinhub/peer/v1/peer_pb.js';
import {SAMPLE_MESSAGES} from './sample-messages.js';

const HEARTBEAT_INTERVAL_MS = 1000;
/** Longer than any measurement, so that a busy loop does not close the link. */
const SILENCE_MS = 60_000;

/** Both sides use the same. */
export const createSampleSettings = (host: string): LinkSettings => ({
	hello: {
		host, instance: host, role: Role.ENTRY, dataCentre: 'centre-1',
	},
	heartbeatIntervalMs: HEARTBEAT_INTERVAL_MS,
	silenceMs: SILENCE_MS,
	describeSelf: () => SAMPLE_MESSAGES.heartbeat.value,
	onMessage({body, reply}) {
		reply(body.case === 'grantRequest' ? SAMPLE_MESSAGES.grant : SAMPLE_MESSAGES.acknowledged);
	},
	pauseDetector: createPauseDetector(SILENCE_MS, () => {/* Nothing is resumed. */}),
});
