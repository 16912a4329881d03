/**
A clock of virtual time that jumps from event to event. Events run in the order
of their time; events of the same time run in the order of their scheduling, so
that a run is deterministic. A binary heap holds the pending events.
*/

type ScheduledEvent = {readonly at: number; readonly order: number; readonly run: () => void};

const isBefore = (a: ScheduledEvent, b: ScheduledEvent): boolean => a.at < b.at || (a.at === b.at && a.order < b.order);

export class VirtualClock {
	/** Virtual milliseconds since the start of the run. */
	now = 0;
	readonly #heap: ScheduledEvent[] = [];
	#order = 0;

	/** Schedules `run` after `delayMs`; a negative delay counts as 0. */
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
			this.#siftDown();
		}

		this.now = first.at;
		first.run();
		return true;
	}

	#siftDown(): void {
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
