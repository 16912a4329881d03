/**
Keeps slots in memory. A slot that is not released lapses, so that an owner that
died holding some does not lower the limit for good. When the table itself is
lost with its process, calls that run already are not counted again: for their
time the row may run more calls than its cell says.
*/
import type {RowKey} from '@siskinhub/core/table/row-key.js';
import type {SlotTable} from './slot-table.js';

const SLOT_TTL_MS = 120_000;

/** Creates an empty table. */
export const createSlotTable = (): SlotTable => {
	const rows = new Map<RowKey, Map<string, number>>();

	const slotsOf = (row: RowKey): Map<string, number> => {
		const slots = rows.get(row) ?? new Map<string, number>();
		rows.set(row, slots);
		const now = Date.now();
		for (const [slot, expiresAt] of slots) {
			if (expiresAt <= now) {
				slots.delete(slot);
			}
		}

		return slots;
	};

	return {
		acquire(row, slot, limit) {
			const slots = slotsOf(row);
			if (!slots.has(slot) && slots.size >= limit) {
				return false;
			}

			slots.set(slot, Date.now() + SLOT_TTL_MS);
			return true;
		},
		release(row, slot) {
			const slots = slotsOf(row);
			slots.delete(slot);
			if (slots.size === 0) {
				rows.delete(row);
			}
		},
	};
};
