/**
Publishes cache events as real engines do: late, and with gaps.
*/
import type {ServerResponse} from 'node:http';
import type {ResolvedFaults} from './resolved-faults.js';
import type {CacheEventFeed} from './cache-event-feed.js';

// A multiplicative hash of the sequence number spreads the dropped events evenly and reproducibly.
const HASH_FACTOR = 2_654_435_761;
const HASH_RANGE = 2 ** 32;

const isDropped = (sequence: number, share: number): boolean => (sequence * HASH_FACTOR) % HASH_RANGE < share * HASH_RANGE;

/** Every event carries a consecutive `sequence`, dropped ones included, so that a subscriber can detect a gap. */
export const createCacheEventFeed = (faults: ResolvedFaults): CacheEventFeed => {
	const subscribers = new Set<ServerResponse>();
	let sequence = 0;

	const send = (event: unknown): void => {
		for (const res of subscribers) {
			res.write(`data: ${JSON.stringify(event)}\n\n`);
		}
	};

	return {
		publish(change) {
			sequence++;
			if (!isDropped(sequence, faults.dropCacheEvents)) {
				setTimeout(send, faults.lagMs, {sequence, ...change}).unref();
			}
		},
		subscribe(res) {
			res.writeHead(200, {'content-type': 'text/event-stream'});
			res.flushHeaders();
			subscribers.add(res);
			res.on('close', () => subscribers.delete(res));
		},
	};
};
