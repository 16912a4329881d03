/**
The prefix cache of a stand-in engine: limited, least recently used goes first.
*/
import type {ProgramId} from '@siskinhub/core/ids/program-id.js';
import type {WasteMeter} from '../measure/waste-meter.js';

type Group = {tokens: number; pinned: boolean; idleSince: number};

/** Holds one prefix a program; prefixes of running calls are pinned. */
export class PrefixMemory {
	/** Groups in order of their last use. */
	readonly groups = new Map<ProgramId, Group>();
	used = 0;

	constructor(
		readonly capacity: number,
		private readonly waste: WasteMeter,
		private readonly onEvict: (program: ProgramId) => void,
	) {}

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

		this.groups.set(program, {tokens, pinned: true, idleSince: now});
		this.used += tokens;
		return true;
	}

	unpin(program: ProgramId, now: number): void {
		const group = this.groups.get(program);
		if (group) {
			group.pinned = false;
			group.idleSince = now;
		}
	}

	/** Adds an imported prefix; without room it is dropped. */
	insert(program: ProgramId, tokens: number, now: number): void {
		if (!this.groups.has(program) && this.#makeRoom(tokens, program, now)) {
			this.groups.set(program, {tokens, pinned: false, idleSince: now});
			this.used += tokens;
		}
	}

	/** Removes an idle prefix; `reused` says that an export made use of it. */
	release(program: ProgramId, now: number, reused = false): void {
		const group = this.groups.get(program);
		if (!group || group.pinned) {
			return;
		}

		if (!reused) {
			this.waste.add(group.tokens, group.idleSince, now);
		}

		this.used -= group.tokens;
		this.groups.delete(program);
	}

	/** Loses everything, as a crash does. */
	clear(now: number): void {
		for (const [program, group] of this.groups) {
			group.pinned = false;
			this.release(program, now);
		}
	}

	#makeRoom(tokens: number, keep: ProgramId, now: number): boolean {
		const idle = [...this.groups].filter(([program, group]) => !group.pinned && program !== keep);
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
