/**
The prefix cache of a simulated engine: it has a limited size in tokens and
evicts idle prefixes, least recently used first. The waste meter gets the tokens
that were held idle and then not reused.
*/
import type {ProgramId} from '@siskinhub/core/ids/program-id.js';
import type {WasteMeter} from '../measure/waste-meter.js';

/** The cached prefix of one program. */
type Group = {tokens: number; isPinned: boolean; idleSince: number};

/** Holds one prefix a program; prefixes of running calls are pinned. */
export class PrefixMemory {
	/** Prefixes by program, least recently used first. */
	readonly groups = new Map<ProgramId, Group>();
	/** Tokens held. */
	used = 0;

	constructor(
		readonly capacity: number,
		private readonly waste: WasteMeter,
		private readonly onEvict: (program: ProgramId) => void,
	) {}

	/** Returns the tokens held for the program. */
	held(program: ProgramId): number {
		return this.groups.get(program)?.tokens ?? 0;
	}

	/** Pins `tokens` for a call, evicting idle prefixes; returns whether they fit. */
	pin(program: ProgramId, tokens: number, promptTokens: number, now: number): boolean {
		const own = this.groups.get(program);
		if (!this.#makeRoom(tokens - (own?.tokens ?? 0), program, now)) {
			return false;
		}

		if (own) {
			this.waste.add(Math.max(0, own.tokens - promptTokens), own.idleSince, now);
			this.used -= own.tokens;
			this.groups.delete(program);
		}

		this.groups.set(program, {tokens, isPinned: true, idleSince: now});
		this.used += tokens;
		return true;
	}

	unpin(program: ProgramId, now: number): void {
		const group = this.groups.get(program);
		if (group) {
			group.isPinned = false;
			group.idleSince = now;
		}
	}

	/** Adds an imported prefix as idle; drops it if it doesn't fit or the program already has one. */
	insert(program: ProgramId, tokens: number, now: number): void {
		if (!this.groups.has(program) && this.#makeRoom(tokens, program, now)) {
			this.groups.set(program, {tokens, isPinned: false, idleSince: now});
			this.used += tokens;
		}
	}

	/** Removes an idle prefix. Its idle time counts as wasted, unless `isReused` says that it was exported to another engine. */
	release(program: ProgramId, now: number, isReused = false): void {
		const group = this.groups.get(program);
		if (!group || group.isPinned) {
			return;
		}

		if (!isReused) {
			this.waste.add(group.tokens, group.idleSince, now);
		}

		this.used -= group.tokens;
		this.groups.delete(program);
	}

	/** Removes all prefixes, also pinned ones, as a crash does. */
	clear(now: number): void {
		for (const [program, group] of this.groups) {
			group.isPinned = false;
			this.release(program, now);
		}
	}

	/** Evicts idle prefixes other than that of `keep` until `tokens` more fit; evicts nothing and returns false if they can't. */
	#makeRoom(tokens: number, keep: ProgramId, now: number): boolean {
		const idle = [...this.groups].filter(([program, group]) => !group.isPinned && program !== keep);
		const idleTokens = idle.reduce((sum, [, group]) => sum + group.tokens, 0);
		if (this.used - idleTokens + tokens > this.capacity) {
			return false;
		}

		for (const [program] of idle) {
			if (this.used + tokens <= this.capacity) {
				break;
			}

			this.release(program, now);
			this.onEvict(program);
		}

		return true;
	}
}
