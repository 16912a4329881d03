/**
Callbacks that report the progress of a run.
*/
import type {MessageInitShape} from '@bufbuild/protobuf';
import type {ChunkSchema, DoneSchema} from '@siskinhub/proto/gen/siskinhub/peer/v1/peer_pb.js';

/** Receives the chunks of the answer in order, then its end. */
export type RunObserver = {
	readonly onChunk: (chunk: MessageInitShape<typeof ChunkSchema>) => void;
	readonly onDone: (done: MessageInitShape<typeof DoneSchema>) => void;
};
