/**
Builds the record of which software runs an attempt that may begin a stream.
*/
import type {MessageInitShape} from '@bufbuild/protobuf';
import type {StreamOriginSchema} from '@siskinhub/proto/gen/siskinhub/peer/v1/peer_pb.js';
import type {HolderClient} from './holder-client.js';

/** Callers take up a stream within their deadline, which is seconds. */
const ORIGIN_RETENTION_MS = 60_000;

type Stream = Omit<Parameters<HolderClient['recordOrigin']>[0], 'program'>;

/** `slackMs` is added to the retention, since hosts' clocks differ. */
export const createStreamOrigin = ({attempt, service, version, sequence, takenUpBy = ''}: Stream, slackMs: number) => ({
	attempt, service, version, sequence, takenUpBy, expiresAtMs: Date.now() + ORIGIN_RETENTION_MS + slackMs,
} satisfies MessageInitShape<typeof StreamOriginSchema>);
