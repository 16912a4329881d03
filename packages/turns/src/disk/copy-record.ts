/**
One fact on a holder's disk.
*/
import type {MessageInitShape} from '@bufbuild/protobuf';
import type {RecordSchema} from '@siskinhub/proto/gen/siskinhub/peer/v1/peer_pb.js';

/** A turn, a token use or the list of holders; facts are only ever added. */
export type CopyRecord = NonNullable<MessageInitShape<typeof RecordSchema>['fact']>;
