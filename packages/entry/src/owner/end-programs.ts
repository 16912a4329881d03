/**
Ends programs: on order, and when their time limits have passed.
*/
import {err, ok, type Result} from 'neverthrow';
import type {OpenProgram} from '@siskinhub/core/owner/open-program.js';
import type {Refusal} from '@siskinhub/core/refusal/refusal.js';
import type {ProgramBook} from './program-book.js';
import type {ShardOwnerOptions} from './shard-owner-options.js';

type EnderOptions = ShardOwnerOptions & {
	readonly book: ProgramBook;
};

type ProgramEnder = {
	/** Ends the program and its children, and releases what they hold. */
	readonly end: (program: OpenProgram) => Promise<Result<void, Refusal>>;
	readonly enforceTimeLimits: () => Promise<void>;
};

/** Creates the ender of one shard's owner. */
export const endPrograms = ({shard, epoch, holders, histories, book, orders, limitsOf, onProgramEnded, log}: EnderOptions): ProgramEnder => {
	const end: ProgramEnder['end'] = async program => {
		if (program.ended) {
			return ok();
		}

		for (const child of program.children) {
			const found = await book.find(child);
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

		orders.releasePrefix({shard, epoch, program: id});
		onProgramEnded?.(id);
		book.signal(id);
		return ok();
	};

	const hasOutlived = (program: OpenProgram, now: number): string | undefined => {
		const resolved = limitsOf(program.header);
		if (resolved.isErr()) {
			return undefined;
		}

		const {wallTimeMs, toolTimeMs, idleTimeMs} = resolved.value.limits;
		if (wallTimeMs !== undefined && now - program.header.startedAt > wallTimeMs) {
			return 'wall-time';
		}

		const isPaused = program.current === undefined && program.children.size === 0;
		if (isPaused && toolTimeMs !== undefined && program.turnEndedAt !== undefined && now - program.turnEndedAt > toolTimeMs) {
			return 'tool-time';
		}

		return isPaused && idleTimeMs !== undefined && now - program.lastSeenAt > idleTimeMs ? 'idle-time' : undefined;
	};

	return {
		end,
		async enforceTimeLimits() {
			for (const program of book.all()) {
				const limit = program.ended ? undefined : hasOutlived(program, Date.now());
				if (limit) {
					log.info('program ended by its row\'s limit', {programId: program.header.program, limit});
					await end(program);
				}
			}
		},
	};
};
