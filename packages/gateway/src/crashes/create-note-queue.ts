/**
Keeps notes by request in the order in which they last changed, and lists them
page by page for readers that each have their own position. Nothing is left out:
what does not fit on a page is on the next one.
*/

/** `at` is a time on the caller's clock, in milliseconds. */
type Note = {readonly key: string; readonly upstream: string; readonly at: number};

type Entry = {readonly sequence: number; readonly times: ReadonlyMap<string, number>};

/** Of more than `maxKeys` requests those that changed longest ago are dropped. */
export const createNoteQueue = (maxKeys: number) => {
	// Ordered by sequence.
	const entries = new Map<string, Entry>();
	let newestSequence = 0;

	return {
		get: (key: string): ReadonlyMap<string, number> | undefined => entries.get(key)?.times,
		/** Replaces the notes of a request, which are then listed again. `times` maps upstreams to when the request broke off there. */
		put(key: string, times: ReadonlyMap<string, number>): void {
			newestSequence++;
			entries.delete(key);
			entries.set(key, {sequence: newestSequence, times});
			if (entries.size > maxKeys) {
				const [oldest] = entries.keys();
				entries.delete(oldest!);
			}
		},
		delete(key: string): void {
			entries.delete(key);
		},
		/** Lists whole requests that changed after `cursor`, or all without one, with at most `maxNotes` notes unless a single request has more. */
		listAfter(cursor: number | undefined, maxNotes: number): {readonly notes: readonly Note[]; readonly cursor: number} {
			const notes: Note[] = [];
			let listed = cursor ?? 0;
			if (listed === newestSequence) {
				return {notes, cursor: listed};
			}

			for (const [key, {sequence, times}] of entries) {
				if (sequence <= listed) {
					continue;
				}

				if (notes.length + times.size > maxNotes && (notes.length > 0 || maxNotes <= 0)) {
					return {notes, cursor: listed};
				}

				for (const [upstream, at] of times) {
					notes.push({key, upstream, at});
				}

				listed = sequence;
			}

			return {notes, cursor: newestSequence};
		},
		size: (): number => entries.size,
	};
};
