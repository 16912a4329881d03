/**
Ends programs on request and when their time limits have passed.
*/
import {err, ok, type Result} from 'neverthrow';
import type {OpenProgram} from '@siskinhub/core/owner/open-program.js';
import type {Refusal} from '@siskinhub/core/refusal/refusal.js';
import type {ProgramRegistry} from './program-registry.js';
import type {ShardOwnerOptions} from './shard-owner-options.js';

/** Bounds the cost of one sweep; with more programs, an exceeded limit is noticed some sweeps later. */
const PROGRAMS_PER_SWEEP = 1000;
/** Ended programs stay in memory for late duplicates of requests and for sidecars that compare prefixes. */
const ENDED_RETENTION_MS = 60_000;
/** Time after its deadline when a call counts as abandoned by its caller and entry, and its program as idle. */
const ABANDONED_CALL_MS = 60_000;

type EnderOptions = ShardOwnerOptions & {
	readonly registry: ProgramRegistry;
};

type ProgramEnder = {
	/** Ends the program and its children, and releases what they hold. */
	readonly end: (program: OpenProgram) => Promise<Result<void, Refusal>>;
	readonly enforceTimeLimits: () => Promise<void>;
};

/** Creates the ender for one shard. */
export const createProgramEnder = ({shard, epoch, holders, histories, registry, orders, limitsOf, onProgramEnded, log}: EnderOptions): ProgramEnder => {
	const end: ProgramEnder['end'] = async program => {
		if (program.ended) {
			return ok();
		}

		for (const child of program.children) {
			const found = await registry.find(child);
			const ended = found.isOk() ? await end(found.value) : ok();
			if (ended.isErr()) {
				return err(ended.error);
			}
		}

		const id = program.header.program;
		const marked = await histories.markEnded({shard, epoch, holders}, id);
		if (marked.isErr()) {
			return err(marked.error);
		}

		program.ended = true;
		const call = program.current;
		if (call?.grant) {
			call.cancelled = true;
			orders.cancelRun(call.grant.sidecarAddress, {shard, epoch, claim: call.grant.claim});
		}

		program.lastSeenAt = Date.now();
		const parent = program.header.parent && registry.peek(program.header.parent);
		if (parent) {
			parent.children.delete(id);
		}

		orders.releasePrefix({
			shard, epoch, program: id, upstreams: program.prefixHolders,
		});
		onProgramEnded?.(id);
		registry.signal(id);
		return ok();
	};

	/** Returns the name of the time limit that the program exceeds, if any. */
	const findExceededLimit = (program: OpenProgram, now: number): string | undefined => {
		const resolved = limitsOf(program.header);
		if (resolved.isErr()) {
			return undefined;
		}

		const {wallTimeMs, toolTimeMs, idleTimeMs} = resolved.value.limits;
		if (wallTimeMs !== undefined && now - program.header.startedAt > wallTimeMs) {
			return 'wall-time';
		}

		const isCalling = program.current !== undefined && now < program.current.deadlineAt + ABANDONED_CALL_MS;
		const isPaused = !isCalling && program.children.size === 0;
		if (isPaused && toolTimeMs !== undefined && program.turnEndedAt !== undefined && now - program.turnEndedAt > toolTimeMs) {
			return 'tool-time';
		}

		return isPaused && idleTimeMs !== undefined && now - program.lastSeenAt > idleTimeMs ? 'idle-time' : undefined;
	};

	return {
		end,
		async enforceTimeLimits() {
			const now = Date.now();
			for (const program of registry.nextBatch(PROGRAMS_PER_SWEEP)) {
				if (program.ended && now - program.lastSeenAt > ENDED_RETENTION_MS) {
					registry.forget(program.header.program);
				}

				const limit = program.ended ? undefined : findExceededLimit(program, now);
				if (limit) {
					log.info('ending a program that exceeded a limit of its row', {programId: program.header.program, limit});
					await end(program);
				}
			}
		},
	};
};
