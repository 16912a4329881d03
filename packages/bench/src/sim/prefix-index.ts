/**
The hub's index of which upstreams hold a program's prefix. It is built from
answers and cache events. The events arrive late or are lost, so an entry can be
out of date.
*/
import type {ProgramId} from '@siskinhub/core/ids/program-id.js';
import type {UpstreamId} from '@siskinhub/core/ids/upstream-id.js';

type Holding = {readonly tokens: number; readonly since: number};

const NO_HOLDINGS: ReadonlyMap<UpstreamId, Holding> = new Map();

export class PrefixIndex {
	readonly #holdings = new Map<ProgramId, Map<UpstreamId, Holding>>();

	/** Returns the upstreams that hold the program's prefix, as far as the index knows. */
	list(program: ProgramId): ReadonlyMap<UpstreamId, Holding> {
		return this.#holdings.get(program) ?? NO_HOLDINGS;
	}

	add(program: ProgramId, upstream: UpstreamId, tokens: number, since: number): void {
		const holdings = this.#holdings.get(program) ?? new Map<UpstreamId, Holding>();
		holdings.set(upstream, {tokens, since});
		this.#holdings.set(program, holdings);
	}

	/** Removes an entry, unless it was added after `before`; a late event must not remove a newer entry. */
	remove(program: ProgramId, upstream: UpstreamId, before: number): void {
		const holding = this.#holdings.get(program)?.get(upstream);
		if (holding && holding.since <= before) {
			this.#holdings.get(program)?.delete(upstream);
		}
	}

	removeProgram(program: ProgramId): void {
		this.#holdings.delete(program);
	}
}
