/**
Decides when the messages of a link go out.

Messages are held until the first frame from the other side shows that it runs.
Otherwise a paused process would buffer them and handle them after it resumes.

Expected load: a few messages a second on each of hundreds of links, where a frame
costs both processes a wake, and a message in a frame that is sent anyway next to
nothing. So a message that nobody waits for goes with the next one that somebody
does, and on its own only if there is none for a while.
*/
import type {MessageInitShape} from '@bufbuild/protobuf';
import type {EnvelopeSchema} from '@siskinhub/proto/gen/siskinhub/peer/v1/peer_pb.js';
import {MAX_DEFERRAL_MS} from './max-deferral-ms.js';
import type {OutboundQueue} from './outbound-queue.js';

type EnvelopeInit = MessageInitShape<typeof EnvelopeSchema>;

/** Bounds what is in memory, and lost with the link. */
const MAX_DEFERRED = 64;

export const createLinkSender = (outbound: OutboundQueue) => {
	let lastSentAt = -Infinity;
	let held: EnvelopeInit[] | undefined = [];
	let deferred: EnvelopeInit[] = [];
	let deferralTimer: NodeJS.Timeout | undefined;

	const flush = (): void => {
		clearTimeout(deferralTimer);
		deferralTimer = undefined;
		const envelopes = deferred;
		deferred = [];
		for (const envelope of envelopes) {
			lastSentAt = Date.now();
			outbound.push(envelope);
		}
	};

	/** Sends also if the other side has not been heard yet. */
	const sendNow = (envelope: EnvelopeInit): void => {
		flush();
		lastSentAt = Date.now();
		outbound.push(envelope);
	};

	return {
		sendNow,
		send(envelope: EnvelopeInit): void {
			if (held) {
				held.push(envelope);
			} else {
				sendNow(envelope);
			}
		},
		/** For a message that nobody waits for; sends it with the next one, at the latest after `MAX_DEFERRAL_MS`. */
		sendLater(envelope: EnvelopeInit): void {
			if (held) {
				held.push(envelope);
				return;
			}

			deferred.push(envelope);
			if (deferred.length >= MAX_DEFERRED) {
				flush();
			} else {
				deferralTimer ??= setTimeout(flush, MAX_DEFERRAL_MS);
			}
		},
		/** Sends all that is deferred. */
		flush,
		/** The other side has been heard; what was held is sent. */
		release(): void {
			const envelopes = held ?? [];
			held = undefined;
			for (const envelope of envelopes) {
				sendNow(envelope);
			}
		},
		/** Whether anything was sent within the last `ms` milliseconds. */
		hasSentWithin: (ms: number): boolean => Date.now() - lastSentAt < ms,
		close(): void {
			clearTimeout(deferralTimer);
			outbound.close();
		},
	};
};
