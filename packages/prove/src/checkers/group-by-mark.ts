/**
Groups operations or executions by their mark.
*/

/** Items without a mark are left out. */
export const groupByMark = <Item extends {readonly mark?: string}>(items: readonly Item[]): Map<string, Item[]> => {
	const groups = new Map<string, Item[]>();
	for (const item of items) {
		if (item.mark) {
			groups.set(item.mark, [...groups.get(item.mark) ?? [], item]);
		}
	}

	return groups;
};
