/**
Decides which programs of a workspace may begin while its quota is short, and which
calls belong to programs under way.

Load: a workspace sends 5 to 7.5 times its usual, so most of what it asks for is
refused; one of its programs loops without end. A program is worth something only if
all of its calls run. So each program that begins is charged with the calls that
programs of its route have made of late, and begins only if what the issuers grant
pays for it beside the programs under way. Their calls are not charged again, up to a
multiple of the usual: beyond it a program pays for each call as if it had just begun.
*/
import type {CallHead} from '../call/call-head.js';

/** Bounds the memory; the program that was used longest ago is forgotten first. */
const MAX_PROGRAMS = 5000;
/** A quota is short for so long after it was last found so. */
const SHORT_MS = 1500;
/** A program that has made no call for so long is taken to have ended. */
const ENDED_AFTER_MS = 4000;
/** Assumed of a route before any program of it has been seen. */
const FIRST_COST = 4;
/** Programs that the mean of a route remembers. */
const REMEMBERED_PROGRAMS = 64;
/** A program with so many times the usual calls of its route counts as one that begins with each call. */
const LOOP_FACTOR = 4;
/** Calls beyond this do not raise the mean. */
const MAX_LEARNED_CALLS = 64;
/** What may be saved up or owed, in seconds of what is granted. */
const MAX_CREDIT_S = 1;
/** Share of the most that may be saved up below which a looping program gets nothing. */
const LOOP_SHARE = 0.5;
const SUPPLY_MEMORY_MS = 1000;

type Program = {readonly route: string; calls: number; lastAt: number};
type RouteCost = {calls: number; programs: number};

/** One for each workspace with a limit. Times are on one monotonic clock, in milliseconds. */
export const createProgramLedger = () => {
	// The program that was used longest ago comes first.
	const programs = new Map<string, Program>();
	const costs = new Map<string, RouteCost>();
	let shortUntil = -Infinity;
	let credit = 0;
	let supply = 0;
	let suppliedAt = -Infinity;

	const getCost = (route: string): RouteCost => {
		const cost = costs.get(route) ?? {calls: FIRST_COST, programs: 1};
		costs.set(route, cost);
		return cost;
	};

	const meanCost = (route: string): number => {
		const {calls, programs: count} = getCost(route);
		return Math.max(1, calls / count);
	};

	const supplyPerS = (now: number): number => supply === 0 ? 0 : supply * Math.exp((suppliedAt - now) / SUPPLY_MEMORY_MS);

	/** What the programs under way will probably still ask for. */
	const countOwed = (now: number): number => {
		let owed = 0;
		for (const {route, calls, lastAt} of programs.values()) {
			owed += now - lastAt < ENDED_AFTER_MS ? Math.max(0, meanCost(route) - calls) : 0;
		}

		return owed;
	};

	const isUnderWay = ({program}: Pick<CallHead, 'program'>): boolean => {
		const known = program && programs.get(program.id);
		if (known) {
			return known.calls < LOOP_FACTOR * meanCost(known.route);
		}

		return program?.previousTurn !== undefined;
	};

	const learn = (route: string, isFirst: boolean): void => {
		const cost = getCost(route);
		cost.calls++;
		cost.programs += isFirst ? 1 : 0;
		if (cost.programs > REMEMBERED_PROGRAMS) {
			cost.calls /= 2;
			cost.programs /= 2;
		}
	};

	const note = ({program}: Pick<CallHead, 'program'>, route: string, now: number): void => {
		if (!program) {
			return;
		}

		const known = programs.get(program.id);
		const entry = known ?? {route, calls: 0, lastAt: now};
		entry.calls++;
		entry.lastAt = now;
		if (entry.calls <= MAX_LEARNED_CALLS) {
			learn(entry.route, !known);
		}

		programs.delete(program.id);
		programs.set(program.id, entry);
		if (programs.size > MAX_PROGRAMS) {
			const [oldest] = programs.keys();
			programs.delete(oldest!);
		}
	};

	return {
		/** Whether the call belongs to a program that has begun and does not loop. */
		isUnderWay,
		/** Requests a second that issuers granted of late. */
		supplyPerS,
		/** Tells that the issuers had less than was needed. */
		markShort(now: number): void {
			if (now >= shortUntil) {
				credit = -Math.min(countOwed(now), 2 * MAX_CREDIT_S * supplyPerS(now));
			}

			shortUntil = now + SHORT_MS;
		},
		/** Tells that issuers granted so many requests more, or that some were given back. */
		addSupply(more: number, now: number): void {
			supply = supplyPerS(now) + Math.max(0, more);
			suppliedAt = now;
			credit = Math.min(credit + more, MAX_CREDIT_S * supply);
		},
		/** Decides whether a call may go on towards the quota. */
		admit(call: Pick<CallHead, 'program'>, route: string, now: number): boolean {
			const isBegun = isUnderWay(call);
			if (now < shortUntil && !isBegun) {
				const isNew = call.program !== undefined && !programs.has(call.program.id);
				// A program that loops gets what those that begin leave.
				if (credit < (isNew || !call.program ? 1 : Math.max(1, LOOP_SHARE * MAX_CREDIT_S * supplyPerS(now)))) {
					return false;
				}

				credit -= isNew ? meanCost(route) : 1;
			}

			note(call, route, now);
			return true;
		},
	};
};
