/**
The keys of a log: a ring of slots for its entries, and its snapshot.
*/
import type {LogLayout} from './log-layout.js';

/** Names the keys of the log `name`. */
export const createLogLayout = (name: string, slotCount: number): LogLayout => ({
	slotCount,
	prefix: `${name}/`,
	snapshotKey: `${name}/snapshot`,
	slotKey: index => `${name}/slot-${index % slotCount}`,
});
