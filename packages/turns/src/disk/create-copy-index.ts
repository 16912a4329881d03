/**
The facts of a holder in memory, merged: of two uses of one attempt the settled
one counts, else the larger; of two lists the later version.
*/
import type {
	HolderList, KeptTurn, ProgramUse, Record as WireRecord, TokenUse,
} from '@siskinhub/proto/gen/siskinhub/peer/v1/peer_pb.js';
import {isNewerUse} from './is-newer-use.js';

type ProgramUses = {
	readonly byAttempt: Map<string, TokenUse>;
	expiresAtMs: number;
};

/** Creates an empty index. */
export const createCopyIndex = () => {
	const turns = new Map<string, KeptTurn>();
	const programs = new Map<string, ProgramUses>();
	// Every record in the order of arrival, for holders that copy from this one.
	let arrivals: WireRecord[] = [];
	let list: HolderList | undefined;
	// Offsets into the arrivals hold until some are taken out.
	let generation = 1;

	const addTurn = (turn: KeptTurn): boolean => {
		const isNew = !turns.has(turn.id);
		if (isNew) {
			turns.set(turn.id, turn);
		}

		// A chain is kept as long as its newest turn.
		for (let held = turns.get(turn.id); held && held.expiresAtMs < turn.expiresAtMs; held = turns.get(held.previous)) {
			held.expiresAtMs = turn.expiresAtMs;
		}

		for (let held = turns.get(turn.previous); held && held.expiresAtMs < turn.expiresAtMs; held = turns.get(held.previous)) {
			held.expiresAtMs = turn.expiresAtMs;
		}

		return isNew;
	};

	const addUse = ({program, use, expiresAtMs}: ProgramUse): boolean => {
		const uses = programs.get(program) ?? {byAttempt: new Map<string, TokenUse>(), expiresAtMs};
		programs.set(program, uses);
		uses.expiresAtMs = Math.max(uses.expiresAtMs, expiresAtMs);
		if (!use || !isNewerUse(uses.byAttempt.get(use.attempt), use)) {
			return false;
		}

		uses.byAttempt.set(use.attempt, use);
		return true;
	};

	const addList = (next: HolderList): boolean => {
		if (list && list.version >= next.version) {
			return false;
		}

		list = next;
		return true;
	};

	const addFact = ({fact}: WireRecord): boolean => {
		switch (fact.case) {
			case 'turn': {
				return addTurn(fact.value);
			}

			case 'use': {
				return addUse(fact.value);
			}

			case 'list': {
				return addList(fact.value);
			}

			case undefined: {
				return false;
			}
		}
	};

	const isWanted = ({fact}: WireRecord): boolean => {
		switch (fact.case) {
			case 'turn': {
				return turns.has(fact.value.id);
			}

			case 'use': {
				const held = programs.get(fact.value.program)?.byAttempt.get(fact.value.use?.attempt ?? '');
				return held !== undefined && held === fact.value.use;
			}

			case 'list': {
				return fact.value === list;
			}

			case undefined: {
				return false;
			}
		}
	};

	return {
		/** Whether the record says something new. */
		add(record: WireRecord): boolean {
			const isNew = addFact(record);
			if (isNew) {
				arrivals.push(record);
			}

			return isNew;
		},
		findTurn: (id: string): KeptTurn | undefined => turns.get(id),
		listUses: (program: string): readonly TokenUse[] => [...programs.get(program)?.byAttempt.values() ?? []],
		list: (): HolderList | undefined => list,
		/** What is within retention. */
		records(): readonly WireRecord[] {
			arrivals = arrivals.filter(record => isWanted(record));
			generation++;
			return arrivals;
		},
		/** Changes whenever offsets into `recordsFrom` are of no more use. */
		generation: (): number => generation,
		/** Records from `offset` on, in the order of arrival. */
		recordsFrom: (offset: number): readonly WireRecord[] => arrivals.slice(offset),
		forgetExpired(now: number): void {
			for (const turn of turns.values()) {
				if (turn.expiresAtMs <= now) {
					turns.delete(turn.id);
				}
			}

			for (const [program, uses] of programs) {
				if (uses.expiresAtMs <= now) {
					programs.delete(program);
				}
			}
		},
		size: (): number => arrivals.length,
	};
};
