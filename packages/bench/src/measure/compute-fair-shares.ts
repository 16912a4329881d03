/**
Computes how much service each row should get: weighted max-min fairness.
*/

type Claim = {readonly weight: number; readonly demand: number};

/** Divides `capacity` by weight; what a row doesn't demand of its share goes to the others. Returns the shares in the order of the claims, in the unit of `capacity`. */
export const computeFairShares = (claims: readonly Claim[], capacity: number): readonly number[] => {
	const shares = claims.map(() => 0);
	let open = claims.map((_claim, index) => index);
	let remaining = capacity;
	while (open.length > 0) {
		const weight = open.reduce((sum, index) => sum + claims[index]!.weight, 0);
		const perWeight = remaining / weight;
		const satisfied = open.filter(index => claims[index]!.demand <= perWeight * claims[index]!.weight);
		for (const index of satisfied.length > 0 ? satisfied : open) {
			const {weight: own, demand} = claims[index]!;
			shares[index] = satisfied.length > 0 ? demand : perWeight * own;
			remaining -= shares[index];
		}

		open = satisfied.length > 0 ? open.filter(index => !satisfied.includes(index)) : [];
	}

	return shares;
};
