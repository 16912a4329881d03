/**
The log in which a stand-in records what it executed.
*/

/** Items in the order in which they were added. */
export type AppendLog<Item> = {
	readonly items: readonly Item[];
	readonly add: (item: Item) => void;
};
