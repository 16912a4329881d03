/**
Virtual time: events run in the order of their time, then of their scheduling.
*/

type Event = {readonly at: number; readonly order: number; readonly run: () => void};

const isBefore = (a: Event, b: Event): boolean => a.at < b.at || (a.at === b.at && a.order < b.order);

/** A clock that jumps from event to event; a binary heap holds what is to come. */
export class VirtualClock {
	now = 0;
	readonly #heap: Event[] = [];
	#order = 0;

	/** Runs `run` after `delayMs`. */
	schedule(delayMs: number, run: () => void): void {
		const heap = this.#heap;
		heap.push({at: this.now + Math.max(0, delayMs), order: this.#order++, run});
		for (let index = heap.length - 1; index > 0;) {
			const parent = Math.floor((index - 1) / 2);
			if (!isBefore(heap[index]!, heap[parent]!)) {
				break;
			}

			this.#swap(index, parent);
			index = parent;
		}
	}

	/** Runs the next event; returns whether there was one. */
	step(): boolean {
		const heap = this.#heap;
		const first = heap[0];
		const last = heap.pop();
		if (!first || !last) {
			return false;
		}

		if (first !== last) {
			heap[0] = last;
			this.#sink();
		}

		this.now = first.at;
		first.run();
		return true;
	}

	#sink(): void {
		const heap = this.#heap;
		for (let index = 0; ;) {
			const left = (2 * index) + 1;
			const right = left + 1;
			const child = right < heap.length && isBefore(heap[right]!, heap[left]!) ? right : left;
			if (child >= heap.length || !isBefore(heap[child]!, heap[index]!)) {
				return;
			}

			this.#swap(index, child);
			index = child;
		}
	}

	#swap(a: number, b: number): void {
		const heap = this.#heap;
		[heap[a], heap[b]] = [heap[b]!, heap[a]!];
	}
}
