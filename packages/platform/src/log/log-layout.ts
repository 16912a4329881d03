/**
Where a log is kept.
*/

/** The keys of one log. */
export type LogLayout = {
	readonly slotCount: number;
	/** All keys of the log begin with it. */
	readonly prefix: string;
	readonly snapshotKey: string;
	/** The key that holds entry `index`, until entry `index + slotCount` replaces it. */
	readonly slotKey: (index: number) => string;
};
