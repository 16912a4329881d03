/**
Counts this process's own calls by upstream and remembers failures for a short
while, so that an upstream that is failing gets less work until it is tried again.
*/
import type {DataCentreId} from '@siskinhub/core/ids/data-centre-id.js';
import type {Upstream} from '../upstreams/upstream.js';
import {createPrefixMemory} from './create-prefix-memory.js';
import type {LoadBook} from './load-book.js';

/** What one failure adds to an upstream's cost, and the half-life with which it fades. */
const FAILURE_PENALTY_MS = 150;
const FULL_PENALTY_MS = 60;
const PENALTY_HALF_LIFE_MS = 1000;
const MAX_PENALTY_MS = 1200;
/** Added for an upstream that is still slow after its start. */
const COLD_PENALTY_MS = 40;

type Entry = {
	bornAtMs: number;
	running: number;
	unreadTokens: number;
	penaltyMs: number;
	penaltyAt: number;
	memory: ReturnType<typeof createPrefixMemory>;
};

type LoadBookOptions = {
	readonly dataCentre: DataCentreId;
	/** Tokens that an engine of the service holds. */
	readonly memoryTokens: (service: string) => number;
};

/** Creates a book without entries. */
export const createLoadBook = ({dataCentre, memoryTokens}: LoadBookOptions): LoadBook => {
	const entries = new Map<string, Entry>();

	const find = ({id, bornAtMs, service}: Upstream): Entry => {
		const held = entries.get(id);
		if (held?.bornAtMs === bornAtMs) {
			return held;
		}

		const entry: Entry = {
			bornAtMs, running: 0, unreadTokens: 0, penaltyMs: 0, penaltyAt: 0, memory: createPrefixMemory(memoryTokens(service)),
		};
		entries.set(id, entry);
		return entry;
	};

	const fadePenalty = (entry: Entry): number => entry.penaltyMs * (0.5 ** ((Date.now() - entry.penaltyAt) / PENALTY_HALF_LIFE_MS));

	const punish = (entry: Entry, penaltyMs: number): void => {
		entry.penaltyMs = Math.min(MAX_PENALTY_MS, fadePenalty(entry) + penaltyMs);
		entry.penaltyAt = Date.now();
	};

	return {
		view(upstream, call) {
			const entry = find(upstream);
			return {
				upstream,
				running: entry.running,
				unreadTokens: entry.unreadTokens,
				heldTokens: call.prompt ? entry.memory.countHeld(call.prompt.parts) : 0,
				penaltyMs: fadePenalty(entry) + (upstream.coldMs > 0 ? COLD_PENALTY_MS : 0),
				isNear: upstream.dataCentre === dataCentre,
			};
		},
		begin(upstream, call) {
			const entry = find(upstream);
			const unread = call.prompt ? Math.max(0, call.prompt.promptTokens - entry.memory.countHeld(call.prompt.parts)) : 0;
			entry.running++;
			entry.unreadTokens += unread;
			if (call.prompt) {
				entry.memory.note(call.prompt.parts);
			}

			let isAnswered = false;
			const answered = (): void => {
				if (!isAnswered) {
					isAnswered = true;
					entry.unreadTokens -= unread;
				}
			};

			return {
				answered,
				end(outcome) {
					answered();
					entry.running--;
					if (outcome !== 'done') {
						punish(entry, outcome === 'full' ? FULL_PENALTY_MS : FAILURE_PENALTY_MS);
					}
				},
			};
		},
		forget({id, bornAtMs}) {
			if (entries.get(id)?.bornAtMs === bornAtMs) {
				entries.delete(id);
			}
		},
	};
};
