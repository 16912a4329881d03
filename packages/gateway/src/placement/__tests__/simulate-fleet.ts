/**
A fleet of gateways that choose among the same engines, each with its own load
tracker. Runs on the fake timers of the test.
*/
import type {DataCentreId} from '@siskinhub/core/ids/data-centre-id.js';
import type {ProgramId} from '@siskinhub/core/ids/program-id.js';
import type {RequestId} from '@siskinhub/core/ids/request-id.js';
import type {UpstreamId} from '@siskinhub/core/ids/upstream-id.js';
import {vi} from 'vitest';
import type {CallHead} from '../../call/call-head.js';
import type {Upstream} from '../../upstreams/upstream.js';
import {decideAdmission} from '../../admission/decide-admission.js';
import {chooseEngine} from '../choose-engine.js';
import {createLoadTracker} from '../create-load-tracker.js';
import type {LoadTracker} from '../load-tracker.js';
import {createPrefixTracker} from '../create-prefix-tracker.js';

type FleetOptions = {
	readonly gateways: number;
	readonly engines: number;
	readonly slots: number;
	/** Turns a second of all programs together. */
	readonly turnsPerS: number;
	readonly durationMs: number;
	/** Uniformly distributed in [0, 1). */
	readonly random: () => number;
	/** How many of the engines let two of five turns hang until their caller leaves. */
	readonly hangingEngines?: number;
	/** Prompt tokens that an engine reads in a millisecond. */
	readonly readPerMs: number;
	/** Tokens that each turn generates. */
	readonly outputTokens?: number;
	/** By which factor an engine generates faster than usual, at a time since the start. */
	readonly speedAt?: (engine: number, passedMs: number) => number;
	/** By which factor the demand differs from `turnsPerS`, at a time since the start. */
	readonly demandAt?: (passedMs: number) => number;
	/** How engines are chosen: as in gateways, with or without learning their speed; the least loaded for its speed with full sight; or at random. */
	readonly choice?: 'learned' | 'unlearned' | 'least-loaded' | 'random';
};

type FleetResult = {
	/** Milliseconds from sending each turn until its first event, in ascending order. */
	readonly waits: readonly number[];
	/** Turns that engines refused. */
	readonly refused: number;
	/** Programs that gateways refused. */
	readonly refusedPrograms: number;
	readonly finishedPrograms: number;
	/** Turns at the busiest engine by the mean of all engines. */
	readonly imbalance: number;
	/** Turns by engine. */
	readonly turnsByEngine: readonly number[];
	/** Milliseconds from sending each turn until its end, in ascending order. */
	readonly turnTimes: readonly number[];
	/** Prompt tokens that engines had to read, by turn. */
	readonly readTokens: number;
};

const DATA_CENTRES = ['d1', 'd2', 'd3', 'd4'] as const;
const MEMORY_TOKENS = 117_000;
const SHARED_PREFIXES = 6;
const SHARED_TOKENS = 2560;
const OUTPUT_TOKENS = 30;
/** Tokens of each part of an answer. */
const PART_TOKENS = 5;
const QUEUE = 18;
const FIRST_MS = 31;
const STEP_MS = 3.41;
const STEP_MS_PER_CALL = 0.097;
const TURNS_PER_PROGRAM = 6;
const PAUSE_MS = 150;
const TICK_MS = 1;
const HANG_SHARE = 0.4;
/** Callers leave a stream that has not begun after this time. */
const PATIENCE_MS = 2000;
const OBJECTIVE_MS = 200;

type QueuedTurn = {readonly call: CallHead; readonly onFirstEvent: () => void; readonly onPart: () => void; readonly onEnd: () => void};

const createEngine = (slots: number, readPerMs: number, outputTokens: number, readSpeed: () => number) => {
	const cache = createPrefixTracker(MEMORY_TOKENS);
	const queue: QueuedTurn[] = [];
	let running = 0;
	// An engine reads one prompt after the other.
	let readUntil = 0;
	const engine = {turns: 0, readTokens: 0};

	const finish = (onEnd: () => void): void => {
		running--;
		onEnd();
		const next = queue.shift();
		if (next) {
			start(next);
		}
	};

	const generate = (turn: QueuedTurn, tokens: number): void => {
		if (tokens <= 0) {
			finish(turn.onEnd);
			return;
		}

		setTimeout(() => {
			turn.onPart();
			generate(turn, tokens - PART_TOKENS);
		}, PART_TOKENS * (STEP_MS + (STEP_MS_PER_CALL * running)) / readSpeed());
	};

	const start = (turn: QueuedTurn): void => {
		const {call, onFirstEvent} = turn;
		running++;
		const missing = call.prompt!.promptTokens - cache.countHeldTokens(call.prompt!.parts);
		cache.record(call.prompt!.parts);
		engine.readTokens += missing;
		readUntil = Math.max(readUntil, Date.now()) + (missing / readPerMs / readSpeed());
		setTimeout(() => {
			onFirstEvent();
			generate(turn, outputTokens);
		}, FIRST_MS + (readUntil - Date.now()));
	};

	return Object.assign(engine, {
		/** Turns that run or wait, by what the engine can do. */
		load: () => (running + queue.length) / readSpeed(),
		/** Returns `false` if the queue is full. */
		offer(turn: QueuedTurn): boolean {
			if (running < slots) {
				engine.turns++;
				start(turn);
				return true;
			}

			if (queue.length >= QUEUE) {
				return false;
			}

			engine.turns++;
			queue.push(turn);
			return true;
		},
	});
};

/** Needs fake timers, which it advances. */
export const simulateFleet = ({gateways, engines, slots, turnsPerS, durationMs, random, readPerMs, outputTokens = OUTPUT_TOKENS, speedAt = () => 1, demandAt = () => 1, choice = 'learned', hangingEngines = 0}: FleetOptions): FleetResult => {
	const upstreams: Upstream[] = Array.from({length: engines}, (_, index) => ({
		id: `e${index}` as UpstreamId, service: 's', address: `10.0.0.${index}:1`, dataCentre: DATA_CENTRES[index % DATA_CENTRES.length]! as DataCentreId, softwareVersion: '', slots, isLeaving: false, coldMs: 0, sequence: 1, bornAtMs: 1,
	}));
	const beganAt = Date.now();
	const engineById = new Map(upstreams.map(({id}, index) => [id, createEngine(slots, readPerMs, outputTokens, () => speedAt(index, Date.now() - beganAt))]));
	const trackers = Array.from({length: gateways}, (_, index) => createLoadTracker({
		dataCentre: DATA_CENTRES[index % DATA_CENTRES.length]! as DataCentreId, memoryTokens: () => MEMORY_TOKENS, learnsSpeed: choice === 'learned',
	}));
	const waits: number[] = [];
	const turnTimes: number[] = [];
	const chooseUpstream = (call: CallHead, tracker: LoadTracker): Upstream => {
		switch (choice) {
			case 'random': {
				return upstreams[Math.floor(random() * engines)]!;
			}

			case 'least-loaded': {
				return upstreams.toSorted((a, b) => engineById.get(a.id)!.load() - engineById.get(b.id)!.load())[0]!;
			}

			default: {
				return chooseEngine(call, upstreams.map(each => tracker.getLoad(each, call, true)))!.upstream;
			}
		}
	};

	let refused = 0;
	let refusedPrograms = 0;
	let finishedPrograms = 0;

	const runTurn = (gateway: number, program: string, turn: number): void => {
		const shared = `shared-${Number(program) % SHARED_PREFIXES}`;
		const own = Array.from({length: turn + 1}, (_, index) => ({id: `${program}-${index}`, tokens: index === 0 ? 500 : 150}));
		const parts = [{id: shared, tokens: SHARED_TOKENS}, ...own];
		const call: CallHead = {
			id: `${program}-${turn}-${random()}` as RequestId, method: 'POST', path: '/', host: 'h', headers: [], program: {id: program as ProgramId},
			prompt: {promptTokens: parts.reduce((sum, {tokens}) => sum + tokens, 0), maxTokens: outputTokens, parts},
		};
		const tracker = trackers[gateway]!;
		const upstream = chooseUpstream(call, tracker);
		const active = tracker.beginCall(upstream, call);
		const sentAt = Date.now();
		if (upstreams.indexOf(upstream) < hangingEngines && random() < HANG_SHARE) {
			setTimeout(() => {
				active.end('failed');
				runTurn(gateway, program, turn);
			}, PATIENCE_MS);
			return;
		}

		const isTaken = engineById.get(upstream.id)!.offer({
			call,
			onFirstEvent() {
				waits.push(Date.now() - sentAt);
				active.markAnswered();
			},
			onPart: active.markAnswered,
			onEnd() {
				turnTimes.push(Date.now() - sentAt);
				active.end('done');
				if (turn + 1 < TURNS_PER_PROGRAM) {
					setTimeout(runTurn, PAUSE_MS * (0.5 + random()), gateway, program, turn + 1);
				} else {
					finishedPrograms++;
				}
			},
		});
		if (!isTaken) {
			refused++;
			active.end('full');
			setTimeout(runTurn, PAUSE_MS, gateway, program, turn);
		}
	};

	const startProgram = (gateway: number, program: string): void => {
		const decision = decideAdmission({
			queueMs: 0, utilization: 0, rank: 1, isFirstCall: true, isLateTurn: false, waitMs: trackers[gateway]!.meanWaitMs('s'), objectiveMs: OBJECTIVE_MS,
		}, random());
		if (decision === 'refuse') {
			refusedPrograms++;
		} else {
			runTurn(gateway, program, 0);
		}
	};

	let program = 0;
	for (let passedMs = 0; passedMs < durationMs; passedMs += TICK_MS) {
		if (random() < turnsPerS * demandAt(passedMs) / TURNS_PER_PROGRAM / 1000 * TICK_MS) {
			// Callers are spread unevenly: the balancer hashes them.
			startProgram(Math.floor((random() ** 1.5) * gateways), String(program++));
		}

		vi.advanceTimersByTime(TICK_MS);
	}

	const engineTurns = [...engineById.values()].map(({turns}) => turns);
	const total = engineTurns.reduce((sum, turns) => sum + turns, 0);
	return {
		waits: waits.toSorted((a, b) => a - b),
		refused,
		refusedPrograms,
		finishedPrograms,
		turnsByEngine: engineTurns,
		turnTimes: turnTimes.toSorted((a, b) => a - b),
		imbalance: Math.max(...engineTurns) / (total / engines),
		readTokens: [...engineById.values()].reduce((sum, {readTokens}) => sum + readTokens, 0) / total,
	};
};
