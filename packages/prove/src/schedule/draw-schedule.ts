/**
Draws a fault schedule from a random source, so that a seed reproduces it.
*/
import type {Random} from '@siskinhub/core/decide/random.js';
import type {FaultKind} from './fault-kind.js';
import type {Fault} from './fault.js';

const SIMULTANEOUS_SHARE = 0.3;
const REPEAT_SHARE = 0.2;
const REPEAT_WITHIN_MS = 400;

type ScheduleOptions = {
	readonly seconds: number;
	readonly faultsPerSecond: number;
	/** The targets of each kind of fault that may be drawn. */
	readonly targets: Readonly<Partial<Record<FaultKind, readonly string[]>>>;
	/** Shortest and longest duration of a fault, in milliseconds. */
	readonly durationMs: readonly [number, number];
};

const pick = <Item>(random: Random, items: readonly Item[]): Item => items[Math.floor(random() * items.length)]!;

/** Returns faults ordered by time; some coincide with the previous one, and some are repeated on the same target shortly after. */
export const drawSchedule = (random: Random, {seconds, faultsPerSecond, targets, durationMs: [min, max]}: ScheduleOptions): Fault[] => {
	const kinds = Object.keys(targets) as FaultKind[];
	const faults: Fault[] = [];
	const lastMs = seconds * 1000;
	for (let atMs = 0; kinds.length > 0 && faults.length < seconds * faultsPerSecond;) {
		const gapMs = random() < SIMULTANEOUS_SHARE ? 0 : random() * 2 * 1000 / faultsPerSecond / (1 - SIMULTANEOUS_SHARE);
		atMs += gapMs;
		const kind = pick(random, kinds);
		const fault = {
			atMs: Math.round(Math.min(atMs, lastMs)), kind, target: pick(random, targets[kind]!), durationMs: Math.round(min + (random() * (max - min))),
		};
		faults.push(fault);
		if (random() < REPEAT_SHARE) {
			faults.push({...fault, atMs: Math.round(Math.min(fault.atMs + (random() * REPEAT_WITHIN_MS), lastMs))});
		}
	}

	return faults.toSorted((a, b) => a.atMs - b.atMs);
};
