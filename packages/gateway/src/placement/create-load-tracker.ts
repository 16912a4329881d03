/**
Counts this process's active calls per upstream and penalises recent failures, so
that a failing upstream gets fewer calls. The penalty decays, so that the upstream
is tried again. How fast each upstream is and how long calls wait there is learned
from the same calls.
*/
import type {DataCentreId} from '@siskinhub/core/ids/data-centre-id.js';
import type {Upstream} from '../upstreams/upstream.js';
import {createSuspension} from './create-suspension.js';
import {createPrefixTracker} from './create-prefix-tracker.js';
import {createSpeedTracker} from './create-speed-tracker.js';
import {createWaitTracker} from './create-wait-tracker.js';
import type {LoadTracker} from './load-tracker.js';

/** Added to the cost of an upstream after a failure; decays with `PENALTY_HALF_LIFE_MS`. */
const FAILURE_PENALTY_MS = 300;
const FULL_PENALTY_MS = 120;
const PENALTY_HALF_LIFE_MS = 1000;
const MAX_PENALTY_MS = 1200;
/** Added while an upstream is still slow after its start. */
const COLD_PENALTY_MS = 40;

type LoadEntry = {
	bornAtMs: number;
	running: number;
	pendingPrefillTokens: number;
	penaltyMs: number;
	penaltySetAt: number;
	suspension: ReturnType<typeof createSuspension>;
	prefixes: ReturnType<typeof createPrefixTracker>;
	waits: ReturnType<ReturnType<typeof createWaitTracker>['track']>;
	speed: ReturnType<ReturnType<typeof createSpeedTracker>['track']>;
};

/** What is known about all upstreams of a service together. */
type ServiceEntry = {
	readonly waits: ReturnType<typeof createWaitTracker>;
	readonly speeds: ReturnType<typeof createSpeedTracker>;
};

type LoadTrackerOptions = {
	readonly dataCentre: DataCentreId;
	/** Tokens that the prefix cache of an engine of the service holds. */
	readonly memoryTokens: (service: string) => number;
	/** Whether the speed of upstreams is learned; if not, all are taken to be alike. */
	readonly learnsSpeed?: boolean;
};

/** Only failures and calls of this process count; a restarted upstream starts afresh. */
export const createLoadTracker = ({dataCentre, memoryTokens, learnsSpeed = true}: LoadTrackerOptions): LoadTracker => {
	const entries = new Map<string, LoadEntry>();
	const services = new Map<string, ServiceEntry>();

	const getService = (service: string): ServiceEntry => {
		const entry = services.get(service) ?? {waits: createWaitTracker(), speeds: createSpeedTracker(() => performance.now())};
		services.set(service, entry);
		return entry;
	};

	const getEntry = ({id, bornAtMs, service}: Upstream): LoadEntry => {
		const existing = entries.get(id);
		if (existing?.bornAtMs === bornAtMs) {
			return existing;
		}

		existing?.speed.stop();
		const entry: LoadEntry = {
			bornAtMs,
			running: 0,
			pendingPrefillTokens: 0,
			penaltyMs: 0,
			penaltySetAt: 0,
			suspension: createSuspension(() => performance.now()),
			prefixes: createPrefixTracker(memoryTokens(service)),
			waits: getService(service).waits.track(),
			speed: getService(service).speeds.track(),
		};
		entries.set(id, entry);
		return entry;
	};

	const computePenalty = (entry: LoadEntry): number => entry.penaltyMs * (0.5 ** ((Date.now() - entry.penaltySetAt) / PENALTY_HALF_LIFE_MS));

	const addPenalty = (entry: LoadEntry, penaltyMs: number): void => {
		entry.penaltyMs = Math.min(MAX_PENALTY_MS, computePenalty(entry) + penaltyMs);
		entry.penaltySetAt = Date.now();
	};

	return {
		meanWaitMs: service => services.get(service)?.waits.meanMs() ?? 0,
		getLoad(upstream, call, isRepeatable) {
			const entry = getEntry(upstream);
			return {
				upstream,
				running: entry.running,
				pendingPrefillTokens: entry.pendingPrefillTokens,
				waitMs: entry.waits.estimateMs(),
				readTokensPerMs: entry.speed.tokensPerMs(),
				extraRunMs: call.prompt ? entry.speed.extraMs() : 0,
				heldTokens: call.prompt ? entry.prefixes.countHeldTokens(call.prompt.parts) : 0,
				penaltyMs: computePenalty(entry) + (upstream.coldMs > 0 ? COLD_PENALTY_MS : 0),
				trust: entry.suspension.judge(isRepeatable),
				isNear: upstream.dataCentre === dataCentre,
			};
		},
		beginCall(upstream, call) {
			const entry = getEntry(upstream);
			const prefillTokens = call.prompt ? Math.max(0, call.prompt.promptTokens - entry.prefixes.countHeldTokens(call.prompt.parts)) : 0;
			entry.running++;
			const endOnTrial = entry.suspension.begin();
			entry.pendingPrefillTokens += prefillTokens;
			const wait = entry.waits.begin(prefillTokens / entry.speed.tokensPerMs());
			const sentAt = performance.now();
			if (call.prompt) {
				entry.prefixes.record(call.prompt.parts);
			}

			let isAnswered = false;
			let answer: ReturnType<LoadEntry['speed']['followAnswer']> | undefined;
			const followAnswer = (): void => {
				if (!learnsSpeed || !call.prompt) {
					return;
				}

				if (answer) {
					answer.receive();
					return;
				}

				answer = entry.speed.followAnswer();
				const {shortestMs} = getService(upstream.service).waits;
				entry.speed.recordReading(prefillTokens, performance.now() - sentAt - (shortestMs() ?? Infinity));
			};

			const stopWaiting = (wasServed: boolean): void => {
				if (!isAnswered) {
					isAnswered = true;
					entry.pendingPrefillTokens -= prefillTokens;
					wait.end(wasServed);
				}
			};

			return {
				markAnswered() {
					followAnswer();
					stopWaiting(true);
				},
				end(outcome) {
					stopWaiting(false);
					entry.running--;
					if (outcome === 'done') {
						answer?.finish();
					}

					endOnTrial(outcome === 'unproven' ? false : (outcome === 'done' || outcome === 'full' ? true : undefined));
					if (outcome !== 'done' && outcome !== 'left') {
						addPenalty(entry, outcome === 'full' ? FULL_PENALTY_MS : FAILURE_PENALTY_MS);
					}
				},
			};
		},
		forget({id, bornAtMs}) {
			if (entries.get(id)?.bornAtMs === bornAtMs) {
				entries.get(id)?.speed.stop();
				entries.delete(id);
			}
		},
	};
};
