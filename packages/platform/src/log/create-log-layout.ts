/**
Derives the keys under which a log is stored: a ring of slots for its entries,
and one key for its snapshot.
*/
import type {LogLayout} from './log-layout.js';

/** Returns the keys of the log `name`. */
export const createLogLayout = (name: string, slotCount: number): LogLayout => ({
	slotCount,
	prefix: `${name}/`,
	snapshotKey: `${name}/snapshot`,
	slotKey: index => `${name}/slot-${index % slotCount}`,
});
