/**
In-memory index of a holder's records of one replica group. Records that concern
the same thing are merged: of two uses of one attempt the settled one counts, otherwise the larger;
of two lists the one with the higher version; of two origins of one attempt the later one.
*/
import type {
	HolderList, KeptTurn, ProgramUse, Record as WireRecord, StreamOrigin, TokenUse,
} from '@siskinhub/proto/gen/siskinhub/peer/v1/peer_pb.js';
import {shouldReplaceUse} from './should-replace-use.js';

type ProgramUses = {
	readonly byAttempt: Map<string, TokenUse>;
	expiresAtMs: number;
	/** The latest expiry that a record on the disk has. */
	storedExpiresAtMs: number;
};

/** How much longer than on the disk a program's uses may be kept in memory; far below the slack that is added to each retention. */
const MAX_UNSTORED_EXTENSION_MS = 5000;

/** Creates an empty index. */
export const createCopyIndex = () => {
	const turns = new Map<string, KeptTurn>();
	const programs = new Map<string, ProgramUses>();
	const origins = new Map<string, StreamOrigin>();
	// Records in the order of arrival, for holders that copy from this one.
	let arrivals: WireRecord[] = [];
	let list: HolderList | undefined;
	// Incremented whenever records may have been removed from `arrivals`, which invalidates offsets into it.
	let generation = 1;

	/** A chain is kept as long as its newest turn, so the expiry of `turn` is extended to the turns before it. */
	const extendChain = ({previous, expiresAtMs}: KeptTurn): void => {
		for (let stored = turns.get(previous); stored && stored.expiresAtMs < expiresAtMs; stored = turns.get(stored.previous)) {
			stored.expiresAtMs = expiresAtMs;
		}
	};

	const addTurn = (turn: KeptTurn): boolean => {
		const known = turns.get(turn.id);
		const stored = known ?? turn;
		turns.set(turn.id, stored);
		stored.expiresAtMs = Math.max(stored.expiresAtMs, turn.expiresAtMs);
		extendChain(stored);
		return !known;
	};

	const addUse = ({program, use, expiresAtMs}: ProgramUse): boolean => {
		const uses = programs.get(program) ?? {byAttempt: new Map<string, TokenUse>(), expiresAtMs, storedExpiresAtMs: 0};
		programs.set(program, uses);
		uses.expiresAtMs = Math.max(uses.expiresAtMs, expiresAtMs);
		if (!use || !shouldReplaceUse(uses.byAttempt.get(use.attempt), use)) {
			return false;
		}

		uses.byAttempt.set(use.attempt, use);
		uses.storedExpiresAtMs = Math.max(uses.storedExpiresAtMs, expiresAtMs);
		return true;
	};

	const addList = (next: HolderList): boolean => {
		if (list && list.version >= next.version) {
			return false;
		}

		list = next;
		return true;
	};

	const addOrigin = (origin: StreamOrigin): boolean => {
		const known = origins.get(origin.attempt);
		if (known && known.sequence >= origin.sequence) {
			return false;
		}

		origins.set(origin.attempt, origin);
		return true;
	};

	const mergeRecord = ({fact}: WireRecord): boolean => {
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

			case 'origin': {
				return addOrigin(fact.value);
			}

			case undefined: {
				return false;
			}
		}
	};

	const isRetained = ({fact}: WireRecord): boolean => {
		switch (fact.case) {
			case 'turn': {
				return turns.has(fact.value.id);
			}

			case 'use': {
				const stored = programs.get(fact.value.program)?.byAttempt.get(fact.value.use?.attempt ?? '');
				return stored !== undefined && stored === fact.value.use;
			}

			case 'list': {
				return fact.value === list;
			}

			case 'origin': {
				return origins.get(fact.value.attempt) === fact.value;
			}

			case undefined: {
				return false;
			}
		}
	};

	return {
		/** Merges the record; returns whether it changed anything but an expiry. */
		add(record: WireRecord): boolean {
			const isNew = mergeRecord(record);
			if (isNew) {
				arrivals.push(record);
			}

			return isNew;
		},
		findTurn: (id: string): KeptTurn | undefined => turns.get(id),
		listUses: (program: string): readonly TokenUse[] => [...programs.get(program)?.byAttempt.values() ?? []],
		/** Keeps what the program used for longer without a record; returns `false` if that takes one, since a restart must not shorten the expiry by much. */
		extendUses(program: string, expiresAtMs: number): boolean {
			const uses = programs.get(program);
			if (!uses || expiresAtMs - uses.storedExpiresAtMs > MAX_UNSTORED_EXTENSION_MS) {
				return false;
			}

			uses.expiresAtMs = Math.max(uses.expiresAtMs, expiresAtMs);
			return true;
		},
		findOrigin: (attempt: string): StreamOrigin | undefined => origins.get(attempt),
		list: (): HolderList | undefined => list,
		/** Drops records that have expired or been superseded and returns the rest, each with the time until which it is kept now. */
		records(): readonly WireRecord[] {
			arrivals = arrivals.filter(record => isRetained(record));
			for (const {fact} of arrivals) {
				if (fact.case === 'use') {
					// The record that brought the latest time may have been superseded.
					fact.value.expiresAtMs = programs.get(fact.value.program)!.expiresAtMs;
				}
			}

			generation++;
			return arrivals;
		},
		/** Changes whenever offsets for `listRecordsFrom` become invalid. */
		generation: (): number => generation,
		/** Records from `offset` on, in the order of arrival. */
		listRecordsFrom: (offset: number): readonly WireRecord[] => arrivals.slice(offset),
		forgetExpired(now: number): void {
			// Turns that arrived after those that continue them have not been extended yet.
			for (const turn of turns.values()) {
				extendChain(turn);
			}

			for (const turn of turns.values()) {
				if (turn.expiresAtMs <= now) {
					turns.delete(turn.id);
				}
			}

			for (const origin of origins.values()) {
				if (origin.expiresAtMs <= now) {
					origins.delete(origin.attempt);
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
