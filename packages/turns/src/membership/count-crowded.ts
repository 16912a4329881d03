/**
Counts the members of a replica group that stand in a data centre beyond those that
may be lost together.
*/
import type {Holder} from './holder.js';

/** 0 if the group outlasts the loss of any one data centre; `losses` is how many members may be lost at the same time. */
export const countCrowded = (members: readonly Holder[], losses: number): number => {
	const membersByDataCentre = new Map<string, number>();
	for (const {dataCentre} of members) {
		membersByDataCentre.set(dataCentre, (membersByDataCentre.get(dataCentre) ?? 0) + 1);
	}

	let crowded = 0;
	for (const count of membersByDataCentre.values()) {
		crowded += Math.max(0, count - Math.max(1, losses));
	}

	return crowded;
};
