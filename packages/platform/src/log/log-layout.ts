/**
Describes the keys under which a log is stored in the platform's service.
*/

/** The keys of one log. */
export type LogLayout = {
	/** Number of slots in the ring. */
	readonly slotCount: number;
	/** Common prefix of all keys of the log. */
	readonly prefix: string;
	readonly snapshotKey: string;
	/** Returns the key of the slot that holds entry `index` until entry `index + slotCount` replaces it. */
	readonly slotKey: (index: number) => string;
};
