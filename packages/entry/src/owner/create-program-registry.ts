/**
Keeps programs by id and loads each from the history holders on first use, so that
a takeover costs nothing for idle programs.
*/
import {err, ok, type Result} from 'neverthrow';
import {chooseLatestValidCopy} from '@siskinhub/core/history/choose-latest-valid-copy.js';
import type {ProgramHistory} from '@siskinhub/core/history/program-history.js';
import type {ProgramId} from '@siskinhub/core/ids/program-id.js';
import {createOpenProgram} from '@siskinhub/core/owner/create-open-program.js';
import type {OpenProgram} from '@siskinhub/core/owner/open-program.js';
import type {Refusal} from '@siskinhub/core/refusal/refusal.js';
import type {ProgramRegistry} from './program-registry.js';
import {restoreProgram} from './restore-program.js';
import type {ShardOwnerOptions} from './shard-owner-options.js';

/** Creates an empty registry. */
export const createProgramRegistry = ({shard, epoch, holders, sources, histories, shardLog}: ShardOwnerOptions): ProgramRegistry => {
	const programs = new Map<ProgramId, OpenProgram>();
	const loading = new Map<ProgramId, Promise<Result<OpenProgram, Refusal>>>();
	let cursor = programs.values();
	const waiters = new Map<ProgramId, Set<() => void>>();

	const readLongestHistory = async (id: ProgramId): Promise<Result<ProgramHistory | undefined, Refusal>> => {
		const copies: ProgramHistory[] = [];
		for (const group of [holders, ...sources]) {
			const read = await histories.readLatest(group, id);
			if (read.isErr()) {
				return err(read.error);
			}

			copies.push(...read.value ? [read.value] : []);
		}

		const longest = chooseLatestValidCopy(copies);
		return ok(longest && {...longest, ended: copies.some(copy => copy.ended)});
	};

	const load = async (id: ProgramId): Promise<Result<OpenProgram, Refusal>> => {
		const read = await readLongestHistory(id);
		if (read.isErr()) {
			return err(read.error);
		}

		const history = read.value;
		if (!history) {
			return err({code: 'unknown-program', message: `There is no program ${id}; start one first.`});
		}

		// The copies must agree before another turn is stored: the next owner may read a different pair of holders.
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

	const find: ProgramRegistry['find'] = async id => {
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
		nextBatch(count) {
			const batch: OpenProgram[] = [];
			while (batch.length < Math.min(count, programs.size)) {
				const next = cursor.next();
				if (next.done) {
					cursor = programs.values();
					break;
				}

				batch.push(next.value);
			}

			return batch;
		},
		size: () => programs.size,
		signal(id) {
			for (const wake of waiters.get(id) ?? []) {
				wake();
			}
		},
		async waitForChange(id, timeoutMs) {
			return new Promise<void>(resolve => {
				const programWaiters = waiters.get(id) ?? new Set();
				waiters.set(id, programWaiters);
				const wake = () => {
					clearTimeout(timer);
					programWaiters.delete(wake);
					if (programWaiters.size === 0) {
						waiters.delete(id);
					}

					resolve();
				};

				const timer = setTimeout(wake, timeoutMs);
				programWaiters.add(wake);
			});
		},
	};
};
