/**
What each row should be served.
*/

type Claim = {readonly weight: number; readonly demand: number};

/** Shares `capacity` by weight; a row that wants less than its share leaves the rest to the others (weighted max-min fairness). */
export const computeFairShares = (claims: readonly Claim[], capacity: number): readonly number[] => {
	const shares = claims.map(() => 0);
	let open = claims.map((_claim, index) => index);
	let left = capacity;
	while (open.length > 0) {
		const weight = open.reduce((sum, index) => sum + claims[index]!.weight, 0);
		const perWeight = left / weight;
		const sated = open.filter(index => claims[index]!.demand <= perWeight * claims[index]!.weight);
		for (const index of sated.length > 0 ? sated : open) {
			const {weight: own, demand} = claims[index]!;
			shares[index] = sated.length > 0 ? demand : perWeight * own;
			left -= shares[index];
		}

		open = sated.length > 0 ? open.filter(index => !sated.includes(index)) : [];
	}

	return shares;
};
