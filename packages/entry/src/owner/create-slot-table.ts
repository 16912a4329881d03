/**
Keeps slots in memory. A slot that is not released expires, so that an owner that
crashed while holding some does not lower the limit permanently. When the table
itself is lost with its process, calls that are already running are not counted
again: until they end, the row may run more calls than its cell allows.
*/
import type {RowKey} from '@siskinhub/core/table/row-key.js';
import type {SlotTable} from './slot-table.js';

const SLOT_TTL_MS = 120_000;

/** Creates an empty table. */
export const createSlotTable = (): SlotTable => {
	const rows = new Map<RowKey, Map<string, number>>();

	const getLiveSlots = (row: RowKey): Map<string, number> => {
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
			const slots = getLiveSlots(row);
			if (!slots.has(slot) && slots.size >= limit) {
				return false;
			}

			slots.set(slot, Date.now() + SLOT_TTL_MS);
			return true;
		},
		release(row, slot) {
			const slots = getLiveSlots(row);
			slots.delete(slot);
			if (slots.size === 0) {
				rows.delete(row);
			}
		},
	};
};
