/**
Sample messages of the usual size between an entry, an owner and a sidecar.
*/
import type {MessageBodyInit} from '@siskinhub/peer/message-body-init.js';

const ID = '0b8f6d1e-6c1e-4a55-9a3c-6a1d8f0e2b47';
const PROGRAM = `p17-${ID}`;
const DIGEST = 'a'.repeat(64);
const holders = ['1', '2', '3'].map(number => ({host: `entry-${number}`, peerAddress: `http://10.0.0.${number}:7100`, dataFolderId: ID}));

const identity = {program: PROGRAM, requestId: `${PROGRAM}:12`, turn: 12};

/** Requests, the replies of a stand-in owner, and a heartbeat. */
export const SAMPLE_MESSAGES = {
	grantRequest: {
		case: 'grantRequest', value: {
			...identity, workspace: 'zamalek', idempotent: true, target: 'repair-agents', inputBytes: 400, maxOutputTokens: 256, deadlineMs: 30_000, fingerprint: DIGEST,
		},
	},
	grant: {
		case: 'grant', value: {
			...identity, claim: ID, shard: 17, epoch: 4n, sequence: 1234n, idempotent: true, digest: DIGEST, upstream: 'engine-1', sidecarAddress: 'http://10.0.0.9:7200', sidecarInstance: ID, maxOutputTokens: 256, holders, weight: 1, priority: 0, attainedMs: 5000n, workspace: 'zamalek', fingerprint: DIGEST, kind: 'diagnosis', deployment: 'repair', startWithinMs: 30_000, programAgeMs: 60_000n, row: 'workspace/zamalek',
		},
	},
	settle: {
		case: 'settle', value: {
			...identity, claim: ID, digest: DIGEST, promptTokens: 4000n, outputTokens: 200n, slotMs: 5000n, storedBytes: 1200n,
		},
	},
	acknowledged: {case: 'acknowledged', value: {}},
	heartbeat: {
		case: 'heartbeat', value: {
			tableRevision: 1234n, load: {
				slots: 8, running: 5, queued: 2, heldTokens: 90_000n, heldPrefixes: 30, upstreamUp: true, callMs: 4000, tokenMs: 30,
			},
		},
	},
} as const satisfies Record<string, MessageBodyInit>;
