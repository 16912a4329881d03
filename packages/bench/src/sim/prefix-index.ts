/**
Where the placing process believes prefixes are held.
*/
import type {ProgramId} from '@siskinhub/core/ids/program-id.js';
import type {UpstreamId} from '@siskinhub/core/ids/upstream-id.js';

type Holding = {readonly tokens: number; readonly since: number};

const NOWHERE: ReadonlyMap<UpstreamId, Holding> = new Map();

/** Beliefs from answers and from cache events, which come late or not at all. */
export class PrefixIndex {
	readonly #holdings = new Map<ProgramId, Map<UpstreamId, Holding>>();

	list(program: ProgramId): ReadonlyMap<UpstreamId, Holding> {
		return this.#holdings.get(program) ?? NOWHERE;
	}

	add(program: ProgramId, upstream: UpstreamId, tokens: number, since: number): void {
		const holdings = this.#holdings.get(program) ?? new Map<UpstreamId, Holding>();
		holdings.set(upstream, {tokens, since});
		this.#holdings.set(program, holdings);
	}

	/** Removes a belief that is no newer than `before`. */
	remove(program: ProgramId, upstream: UpstreamId, before: number): void {
		const holding = this.#holdings.get(program)?.get(upstream);
		if (holding && holding.since <= before) {
			this.#holdings.get(program)?.delete(upstream);
		}
	}

	forget(program: ProgramId): void {
		this.#holdings.delete(program);
	}
}
