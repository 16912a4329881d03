import {fc, test} from '@fast-check/vitest';
import {
	afterEach, beforeEach, describe, expect, it, vi,
} from 'vitest';
import {advanceUntilSettled} from './advance-until-settled.js';
import {createFakeCluster} from './create-fake-cluster.js';

const RETENTION_MS = 60_000;
const SETTLE_TIME_MS = 8000;
/** Time that a holder has to catch up before another one may be away. */
const CATCH_UP_MS = 5000;
const TIMEOUT_MS = 1500;
const HOLDERS = ['h1', 'h2', 'h3'] as const;

type Cluster = ReturnType<typeof createFakeCluster>;
type Client = ReturnType<Cluster['createClient']>;

const bytes = (text: string) => new TextEncoder().encode(text);

const startCluster = async (): Promise<{readonly cluster: Cluster; readonly client: Client}> => {
	const cluster = createFakeCluster(HOLDERS.length);
	await vi.advanceTimersByTimeAsync(SETTLE_TIME_MS);
	return {cluster, client: cluster.createClient('g1')};
};

const readIds = async (client: Client, program: string, turn: string): Promise<readonly string[] | string> => {
	const read = await advanceUntilSettled(client.readTurns(program, turn, TIMEOUT_MS));
	return read.kind === 'found' ? read.turns.map(({id}) => id) : read.kind;
};

/** Continues the chain as a gateway does: reads it, then stores the turn with it. */
const storeTurn = async (client: Client, program: string, {id, previous}: {readonly id: string; readonly previous: string}): Promise<boolean> => {
	const read = previous === '' ? undefined : await advanceUntilSettled(client.readTurns(program, previous, TIMEOUT_MS));
	return advanceUntilSettled(client.settle({
		program, attempt: id, tokens: 1, retentionMs: RETENTION_MS,
	}, {
		previous, input: bytes(`in ${id};`), output: bytes(`out ${id};`), ancestors: read?.kind === 'found' ? read.turns : [], isFromOtherGroup: false,
	}, TIMEOUT_MS));
};

/** Runs `work` while the client does not reach the holder. */
const runWithout = async (cluster: Cluster, holder: string, work: () => Promise<void>): Promise<void> => {
	cluster.cut('g1', holder);
	await work();
	cluster.heal();
};

const restartInTurn = async (cluster: Cluster): Promise<void> => {
	for (const holder of HOLDERS) {
		cluster.restart(holder);
		await vi.advanceTimersByTimeAsync(CATCH_UP_MS);
	}
};

describe('what is in use', () => {
	beforeEach(() => {
		vi.useFakeTimers();
	});
	afterEach(() => {
		vi.useRealTimers();
	});

	// Guards against review case 1: the chain's first turn was renewed on no disk that had it, and was forgotten at planned restarts.
	it('keeps a whole chain whose turns were stored while different holders were away', async () => {
		const {cluster, client} = await startCluster();
		await runWithout(cluster, 'h3', async () => {
			expect(await storeTurn(client, 'p', {id: 't1', previous: ''})).toBe(true);
		});
		await vi.advanceTimersByTimeAsync(5000);
		await runWithout(cluster, 'h1', async () => {
			expect(await storeTurn(client, 'p', {id: 't2', previous: 't1'})).toBe(true);
		});
		await vi.advanceTimersByTimeAsync(47_000);
		await runWithout(cluster, 'h2', async () => {
			expect(await storeTurn(client, 'p', {id: 't3', previous: 't2'})).toBe(true);
		});
		await vi.advanceTimersByTimeAsync(RETENTION_MS - (HOLDERS.length * CATCH_UP_MS) - 1000);
		await restartInTurn(cluster);
		expect(await readIds(client, 'p', 't3')).toEqual(['t1', 't2', 't3']);
	});

	const BUDGET = 240;
	const MOST_TOKENS = 30;

	/** Runs one turn of the program as a gateway does, if it gets its tokens, and uses them all. */
	const runTurn = async (client: Client, attempt: string): Promise<string> => {
		const options = {
			program: 'p', attempt, tokens: MOST_TOKENS, retentionMs: RETENTION_MS,
		};
		const outcome = await advanceUntilSettled(client.reserve({...options, budget: BUDGET}, TIMEOUT_MS));
		if (outcome !== 'spent') {
			await advanceUntilSettled(client.settle({...options, tokens: outcome === 'reserved' ? MOST_TOKENS : 0}, undefined, TIMEOUT_MS));
		}

		return outcome;
	};

	// Guards against review case 4: a disk that had heard of no use for a while forgot all of the program's, though others knew that it goes on.
	it('counts all uses of a program whose last one reached other disks than the ones before', async () => {
		const {cluster, client} = await startCluster();
		await runWithout(cluster, 'h3', async () => {
			for (let turn = 1; turn <= 7; turn++) {
				expect(await runTurn(client, `a${turn}`)).toBe('reserved');
			}
		});
		await vi.advanceTimersByTimeAsync(52_000);
		await runWithout(cluster, 'h1', async () => {
			expect(await runTurn(client, 'a8')).toBe('reserved');
		});
		await vi.advanceTimersByTimeAsync(RETENTION_MS - (HOLDERS.length * CATCH_UP_MS) - 1000);
		await restartInTurn(cluster);
		await runWithout(cluster, 'h2', async () => {
			expect(await runTurn(client, 'a9')).toBe('over-budget');
		});
	});

	// Guards against the kin of review case 4: refusals that no holder heard of did not keep what the program had used.
	it('counts all uses of a program that was only refused for longer than the retention', async () => {
		const {cluster, client} = await startCluster();
		for (let turn = 1; turn <= 8; turn++) {
			expect(await runTurn(client, `a${turn}`)).toBe('reserved');
		}

		for (let refusal = 1; refusal <= 5; refusal++) {
			expect(['over-budget', 'spent']).toContain(await runTurn(client, `b${refusal}`));
			await vi.advanceTimersByTimeAsync(RETENTION_MS - (HOLDERS.length * CATCH_UP_MS) - 1000);
			await restartInTurn(cluster);
		}

		expect(await runTurn(cluster.createClient('g2'), 'c')).toBe('over-budget');
	});

	type Step = {readonly away: number; readonly branch: number; readonly after: 'nothing' | 'restart' | 'restart-all' | 'compact' | 'wipe'; readonly pauseMs: number};

	const step: fc.Arbitrary<Step> = fc.record({
		/** Index of the holder that is away while the turn is stored. */
		away: fc.nat({max: 2}),
		/** Which of the turns so far is continued, counted from the last; several turns may continue the same one. */
		branch: fc.oneof({arbitrary: fc.constant(0), weight: 4}, {arbitrary: fc.constantFrom(1, 2), weight: 1}),
		after: fc.oneof({arbitrary: fc.constant('nothing' as const), weight: 3}, {arbitrary: fc.constantFrom('restart' as const, 'restart-all' as const, 'compact' as const), weight: 3}, {arbitrary: fc.constant('wipe' as const), weight: 1}),
		pauseMs: fc.integer({min: 10_000, max: RETENTION_MS - SETTLE_TIME_MS - (HOLDERS.length * CATCH_UP_MS) - 2000}),
	});

	const applyEvent = async (cluster: Cluster, {after, away}: Step): Promise<void> => {
		const holder = HOLDERS[away]!;
		switch (after) {
			case 'restart': {
				cluster.restart(holder);
				break;
			}

			case 'restart-all': {
				await restartInTurn(cluster);
				break;
			}

			case 'compact': {
				await advanceUntilSettled(cluster.compact(holder));
				break;
			}

			case 'wipe': {
				cluster.wipe(holder);
				break;
			}

			case 'nothing': {
				break;
			}
		}

		await vi.advanceTimersByTimeAsync(SETTLE_TIME_MS);
	};

	const keepsEveryChain = async (steps: readonly Step[]): Promise<void> => {
		vi.useFakeTimers();
		const {cluster, client} = await startCluster();
		const chains: Array<{readonly ids: readonly string[]; readonly endedAt: number}> = [];
		const listLiving = () => chains.filter(({endedAt}) => Date.now() - endedAt < RETENTION_MS);
		for (const [index, each] of steps.entries()) {
			const living = listLiving();
			const continued = living.at(-1 - Math.min(each.branch, Math.max(0, living.length - 1)));
			const id = `t${index}`;
			await runWithout(cluster, HOLDERS[each.away]!, async () => {
				expect(await storeTurn(client, 'p', {id, previous: continued?.ids.at(-1) ?? ''})).toBe(true);
			});
			chains.push({ids: [...continued?.ids ?? [], id], endedAt: Date.now()});
			await applyEvent(cluster, each);
			await vi.advanceTimersByTimeAsync(each.pauseMs);
			for (const {ids} of listLiving()) {
				expect(await readIds(client, 'p', ids.at(-1)!)).toEqual(ids);
			}
		}
	};

	const keepsTheBudget = async (steps: readonly Step[]): Promise<void> => {
		vi.useFakeTimers();
		const {cluster, client} = await startCluster();
		const granted: string[] = [];
		for (const [index, each] of steps.entries()) {
			await runWithout(cluster, HOLDERS[each.away]!, async () => {
				const outcome = await runTurn(client, `a${index}`);
				expect(outcome === 'reserved').toBe((granted.length + 1) * MOST_TOKENS <= BUDGET);
				granted.push(...(outcome === 'reserved' ? [outcome] : []));
			});
			await applyEvent(cluster, each);
			await vi.advanceTimersByTimeAsync(each.pauseMs);
		}
	};

	// Three tests of few runs each, so that one stays far below the time limit on a busy machine.
	for (const seed of [20_261_205, 20_261_206, 20_261_207]) {
		test.prop([fc.array(step, {minLength: 6, maxLength: 12})], {numRuns: 8, seed})('keeps every chain through absences, restarts, compactions, lost disks and pauses below the retention', keepsEveryChain);
		test.prop([fc.array(step, {minLength: 10, maxLength: 14})], {numRuns: 8, seed})('grants a program its budget and no more through the same', keepsTheBudget);
	}
});
