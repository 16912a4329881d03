/**
Parses and validates a log's snapshot from the value of its key.
*/
import * as z from 'zod';

type Snapshot<State> = {
	/** Index of the last entry that the state contains. */
	readonly through: number;
	readonly state: State;
};

const snapshotSchema = z.object({
	through: z.number().int().positive(),
	state: z.unknown(),
});

/** Returns the snapshot, or `undefined` if the value is not a valid one. The state itself is not validated. */
export const parseSnapshot = <State>(value: string): Snapshot<State> | undefined => {
	try {
		return snapshotSchema.parse(JSON.parse(value)) as Snapshot<State>;
	} catch {
		return undefined;
	}
};
