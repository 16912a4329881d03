/**
Keeps programs by id and reads them from the holders when they are first asked
for, so that a takeover costs nothing for programs that stay quiet.
*/
import {err, ok, type Result} from 'neverthrow';
import {chooseLongestValidChain} from '@siskinhub/core/history/choose-longest-valid-chain.js';
import type {ProgramHistory} from '@siskinhub/core/history/program-history.js';
import type {ProgramId} from '@siskinhub/core/ids/program-id.js';
import {createOpenProgram} from '@siskinhub/core/owner/create-open-program.js';
import type {OpenProgram} from '@siskinhub/core/owner/open-program.js';
import type {Refusal} from '@siskinhub/core/refusal/refusal.js';
import type {ProgramBook} from './program-book.js';
import {restoreProgram} from './restore-program.js';
import type {ShardOwnerOptions} from './shard-owner-options.js';

/** Creates an empty book. */
export const createProgramBook = ({shard, epoch, holders, sources, histories, shardLog}: ShardOwnerOptions): ProgramBook => {
	const programs = new Map<ProgramId, OpenProgram>();
	const loading = new Map<ProgramId, Promise<Result<OpenProgram, Refusal>>>();
	let cursor = programs.values();
	const waiters = new Map<ProgramId, Set<() => void>>();

	const readFrom = async (id: ProgramId): Promise<Result<ProgramHistory | undefined, Refusal>> => {
		const copies: ProgramHistory[] = [];
		for (const group of [holders, ...sources]) {
			const read = await histories.readLongest(group, id);
			if (read.isErr()) {
				return err(read.error);
			}

			copies.push(...read.value ? [read.value] : []);
		}

		const longest = chooseLongestValidChain(copies);
		return ok(longest && {...longest, ended: copies.some(copy => copy.ended)});
	};

	const load = async (id: ProgramId): Promise<Result<OpenProgram, Refusal>> => {
		const read = await readFrom(id);
		if (read.isErr()) {
			return err(read.error);
		}

		const history = read.value;
		if (!history) {
			return err({code: 'unknown-program', message: `There is no program ${id}; start one first.`});
		}

		// The copies must agree before a turn follows: the next owner may read another pair of holders.
		const repaired = await histories.repair({shard, epoch, holders}, history);
		if (repaired.isErr()) {
			return err(repaired.error);
		}

		const program = restoreProgram(history, shardLog.state().programs[id], Date.now());
		programs.set(id, program);
		const parent = history.header.parent && programs.get(history.header.parent);
		if (parent) {
			parent.children.add(id);
		}

		return ok(program);
	};

	const find: ProgramBook['find'] = async id => {
		const known = programs.get(id);
		if (known) {
			return ok(known);
		}

		const started = loading.get(id);
		if (started) {
			return started;
		}

		const promise = load(id);
		loading.set(id, promise);
		try {
			return await promise;
		} finally {
			loading.delete(id);
		}
	};

	return {
		find,
		add(header) {
			const program = createOpenProgram(header, Date.now());
			programs.set(header.program, program);
			return program;
		},
		peek: id => programs.get(id),
		all: () => programs.values(),
		forget(id) {
			programs.delete(id);
		},
		nextSlice(count) {
			const slice: OpenProgram[] = [];
			while (slice.length < Math.min(count, programs.size)) {
				const next = cursor.next();
				if (next.done) {
					cursor = programs.values();
					break;
				}

				slice.push(next.value);
			}

			return slice;
		},
		size: () => programs.size,
		signal(id) {
			for (const wake of waiters.get(id) ?? []) {
				wake();
			}
		},
		async waitForChange(id, timeoutMs) {
			return new Promise<void>(resolve => {
				const set = waiters.get(id) ?? new Set();
				waiters.set(id, set);
				const wake = () => {
					clearTimeout(timer);
					set.delete(wake);
					if (set.size === 0) {
						waiters.delete(id);
					}

					resolve();
				};

				const timer = setTimeout(wake, timeoutMs);
				set.add(wake);
			});
		},
	};
};
