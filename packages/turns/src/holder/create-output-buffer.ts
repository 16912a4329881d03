/**
Holds in memory what gateways are passing on of turns that will be kept, for callers
that take such a turn up through another gateway. Whoever reads a beginning checks
that it is whole, so anything may be dropped.

Expected load: an event every few tens of milliseconds for each turn under way, and
streams without end from faulty upstreams. So each attempt and all together are
bounded in bytes; the attempt that was written longest ago goes first.
*/
import type {OutputEvent} from '../client/output-event.js';

const MAX_ATTEMPT_BYTES = 1024 * 1024;
const MAX_BYTES = 8 * 1024 * 1024;
/** Callers take up a stream within their deadline, which is seconds. */
const RETENTION_MS = 60_000;
/** Memory for an event besides its text. */
const EVENT_OVERHEAD_BYTES = 100;

type BufferedOutput = {
	readonly events: OutputEvent[];
	bytes: number;
	/** By the clock of the buffer. */
	writtenAt: number;
};

const countBytes = (events: readonly OutputEvent[]): number => events.reduce((sum, {id, data}) => sum + EVENT_OVERHEAD_BYTES + id.length + data.length, 0);

/** `now` returns monotonic milliseconds. */
export const createOutputBuffer = (now: () => number) => {
	// In the order of their last write.
	const outputs = new Map<string, BufferedOutput>();
	let bytes = 0;

	const drop = (attempt: string): void => {
		bytes -= outputs.get(attempt)?.bytes ?? 0;
		outputs.delete(attempt);
	};

	const dropOldest = (): void => {
		for (const [attempt, {writtenAt}] of outputs) {
			if (bytes <= MAX_BYTES && now() - writtenAt <= RETENTION_MS) {
				return;
			}

			drop(attempt);
		}
	};

	return {
		/** Events that do not follow those that are here are ignored: the beginning would have a gap. */
		append(attempt: string, offset: number, events: readonly OutputEvent[]): void {
			const output = outputs.get(attempt) ?? {events: [], bytes: 0, writtenAt: 0};
			if (output.events.length !== offset) {
				return;
			}

			drop(attempt);
			output.events.push(...events);
			output.bytes += countBytes(events);
			output.writtenAt = now();
			if (output.bytes <= MAX_ATTEMPT_BYTES) {
				outputs.set(attempt, output);
				bytes += output.bytes;
			}

			dropOldest();
		},
		read: (attempt: string): readonly OutputEvent[] => outputs.get(attempt)?.events ?? [],
		/** Estimated memory of all events. */
		bytes: (): number => bytes,
	};
};
