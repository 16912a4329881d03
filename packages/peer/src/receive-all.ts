/**
The receiving half of a link.
*/
import type {Frame} from '@siskinhub/proto/gen/siskinhub/peer/v1/peer_pb.js';
import type {createLink} from './create-link.js';

/** Feeds frames to the link until the stream ends or breaks, then closes the link. Never rejects. */
export const receiveAll = async (link: ReturnType<typeof createLink>, frames: AsyncIterable<Frame>): Promise<void> => {
	try {
		for await (const frame of frames) {
			link.receive(frame);
		}

		link.close('the other side ended the stream');
	} catch (error) {
		link.close(String(error));
	}
};
