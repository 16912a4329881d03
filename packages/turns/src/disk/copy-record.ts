/**
One record on a holder's disk.
*/
import type {MessageInitShape} from '@bufbuild/protobuf';
import type {RecordSchema} from '@siskinhub/proto/gen/siskinhub/peer/v1/peer_pb.js';

/** A turn, a token use or the list of holders; records are only ever added, never changed. */
export type CopyRecord = NonNullable<MessageInitShape<typeof RecordSchema>['fact']>;
