/**
Compares, at a slow beat, what the engine says it holds with the programs that
owners say are open, and releases the rest.

The engine's cache events come late and with gaps, so they decide nothing; the
engine's own list does. A program counts as ended only when an owner that
answered does not list it twice in a row, so that a takeover in between
releases nothing that lives.
*/
import type {Epoch} from '@siskinhub/core/ids/epoch.js';
import type {ProgramId} from '@siskinhub/core/ids/program-id.js';
import {shardOfProgram} from '@siskinhub/core/ids/shard-of-program.js';
import type {Logger} from '@siskinhub/observe/logger.js';
import type {PeerLink} from '@siskinhub/peer/peer-link.js';
import {Role} from '@siskinhub/proto/gen/siskinhub/peer/v1/peer_pb.js';
import type {PrefixKeeper} from './prefix-keeper.js';
import type {RunScheduler} from './run-scheduler.js';
import type {UpstreamClient} from './upstream-client.js';

type KeeperOptions = {
	readonly upstream: UpstreamClient;
	readonly scheduler: RunScheduler;
	readonly links: ReadonlySet<PeerLink>;
	readonly intervalMs: number;
	readonly log: Logger;
};

type OwnersAnswer = {
	/** Whether every entry with a link answered. */
	readonly answered: boolean;
	readonly alive: ReadonlySet<string>;
	/** Epochs of the owners that answered, by shard. */
	readonly epochs: ReadonlyMap<number, Epoch>;
};

/** More shards than any deployment has; a sidecar need not know the real count. */
const MOST_SHARDS = 100_000;
const NO_EPOCH = 0 as Epoch;
const OWNER_TIMEOUT_MS = 2000;
/** Answers in a row that must miss a program before its prefix goes. */
const MISSING_ANSWERS = 2;

/** Starts the beat. */
export const createPrefixKeeper = ({upstream, scheduler, links, intervalMs, log}: KeeperOptions): PrefixKeeper => {
	const ordered = new Map<ProgramId, Epoch>();
	const missing = new Map<string, number>();
	let held = {heldTokens: 0n, heldPrefixes: 0};
	let isBusy = false;

	const releaseOrdered = async () => {
		for (const [program, epoch] of ordered) {
			if (!scheduler.activePrograms().has(program) && await upstream.releasePrefix(program, BigInt(epoch))) {
				ordered.delete(program);
				scheduler.forgetProgram(program);
			}
		}
	};

	const askOwners = async (programs: string[]): Promise<OwnersAnswer> => {
		const entries = [...links].filter(link => link.remote()?.role === Role.ENTRY);
		const replies = await Promise.all(entries.map(async link => link.request({case: 'programsAlive', value: {programs}}, {timeoutMs: OWNER_TIMEOUT_MS})));
		const alive = new Set<string>();
		const epochs = new Map<number, Epoch>();
		let isComplete = entries.length > 0;
		for (const reply of replies) {
			if (reply.isOk() && reply.value.case === 'programsAlive') {
				for (const program of reply.value.value.programs) {
					alive.add(program);
				}

				for (const [shard, epoch] of Object.entries(reply.value.value.epochs)) {
					epochs.set(Number(shard), Number(epoch) as Epoch);
				}
			} else {
				// An entry that did not answer may own the program.
				isComplete = false;
			}
		}

		return {answered: isComplete, alive, epochs};
	};

	const reconcile = async () => {
		const list = await upstream.listPrefixes();
		if (!list) {
			return;
		}

		let heldTokens = 0;
		for (const prefix of list) {
			heldTokens += prefix.tokens;
		}

		held = {heldTokens: BigInt(heldTokens), heldPrefixes: list.length};
		const active = scheduler.activePrograms();
		const idle = list.map(prefix => prefix.program).filter(program => !active.has(program));
		if (idle.length === 0) {
			missing.clear();
			return;
		}

		const {answered, alive, epochs} = await askOwners(idle);
		if (!answered) {
			return;
		}

		for (const program of idle) {
			const times = alive.has(program) ? 0 : (missing.get(program) ?? 0) + 1;
			missing.set(program, times);
			if (times >= MISSING_ANSWERS) {
				missing.delete(program);
				// An upstream that checks fencing numbers takes the release only under the present owner's.
				ordered.set(program as ProgramId, epochs.get(shardOfProgram(program as ProgramId, MOST_SHARDS) ?? -1) ?? NO_EPOCH);
				log.info('releasing the prefix of a program that no owner knows', {programId: program});
			}
		}
	};

	const beat = async () => {
		if (isBusy) {
			return;
		}

		isBusy = true;
		scheduler.sweep();
		await reconcile();
		await releaseOrdered();
		isBusy = false;
	};

	const timer = setInterval(() => {
		void beat();
	}, intervalMs);
	timer.unref();

	return {
		release(program, epoch) {
			ordered.set(program, epoch);
			void releaseOrdered();
		},
		describeHeld: () => held,
		stop() {
			clearInterval(timer);
		},
	};
};
