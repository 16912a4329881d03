/**
Compares, at a fixed interval, the prefixes that the engine holds with the
programs that shard owners report as open, and releases the others.

The comparison uses the engine's list of prefixes, because its cache events arrive
late and with gaps. A program counts as ended only after two consecutive complete
answers of the owners do not contain it, so that a takeover between the two does
not release the prefix of an open program.
*/
import type {Epoch} from '@siskinhub/core/ids/epoch.js';
import type {ProgramId} from '@siskinhub/core/ids/program-id.js';
import {parseShardId} from '@siskinhub/core/ids/parse-shard-id.js';
import type {Logger} from '@siskinhub/observe/logger.js';
import type {PeerLink} from '@siskinhub/peer/peer-link.js';
import {Role} from '@siskinhub/proto/gen/siskinhub/peer/v1/peer_pb.js';
import type {PrefixReconciler} from './prefix-reconciler.js';
import type {RunScheduler} from './run-scheduler.js';
import type {UpstreamClient} from './upstream-client.js';

type ReconcilerOptions = {
	readonly upstream: UpstreamClient;
	readonly scheduler: RunScheduler;
	readonly links: ReadonlySet<PeerLink>;
	readonly intervalMs: number;
	readonly log: Logger;
};

type OwnersAnswer = {
	/** Whether at least one entry is connected and every connected entry answered. */
	readonly isComplete: boolean;
	readonly alive: ReadonlySet<string>;
	/** Epoch of the owner that answered, by shard. */
	readonly epochs: ReadonlyMap<number, Epoch>;
};

/** Exceeds the shard count of any deployment, so that a sidecar need not know the real one. */
const MAX_SHARDS = 100_000;
const NO_EPOCH = 0 as Epoch;
const OWNER_TIMEOUT_MS = 2000;
/** Consecutive answers without a program before its prefix is released. */
const MISSES_BEFORE_RELEASE = 2;

/** Starts the periodic comparison. */
export const createPrefixReconciler = ({upstream, scheduler, links, intervalMs, log}: ReconcilerOptions): PrefixReconciler => {
	const pendingReleases = new Map<ProgramId, Epoch>();
	/** Consecutive answers that did not contain a program. */
	const missing = new Map<string, number>();
	let held = {heldTokens: 0n, heldPrefixes: 0};
	let isBusy = false;

	const releasePending = async () => {
		for (const [program, epoch] of pendingReleases) {
			if (!scheduler.activePrograms().has(program) && await upstream.releasePrefix(program, BigInt(epoch))) {
				pendingReleases.delete(program);
				scheduler.forgetProgram(program);
			}
		}
	};

	const queryOwners = async (programs: string[]): Promise<OwnersAnswer> => {
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

		return {isComplete, alive, epochs};
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

		const {isComplete, alive, epochs} = await queryOwners(idle);
		if (!isComplete) {
			return;
		}

		for (const program of idle) {
			const misses = alive.has(program) ? 0 : (missing.get(program) ?? 0) + 1;
			missing.set(program, misses);
			if (misses >= MISSES_BEFORE_RELEASE) {
				missing.delete(program);
				// An upstream that checks fencing numbers accepts the release only with the current owner's epoch.
				pendingReleases.set(program as ProgramId, epochs.get(parseShardId(program as ProgramId, MAX_SHARDS) ?? -1) ?? NO_EPOCH);
				log.info('releasing the prefix of a program that no owner reports as open', {programId: program});
			}
		}
	};

	const runCycle = async () => {
		if (isBusy) {
			return;
		}

		isBusy = true;
		scheduler.sweep();
		await reconcile();
		await releasePending();
		isBusy = false;
	};

	const timer = setInterval(() => {
		void runCycle();
	}, intervalMs);
	timer.unref();

	return {
		release(program, epoch) {
			pendingReleases.set(program, epoch);
			void releasePending();
		},
		getHeldPrefixes: () => held,
		stop() {
			clearInterval(timer);
		},
	};
};
