/**
A stand-in's record of what truly ran.
*/

/** Items in the order they were added. */
export type AppendLog<Item> = {
	readonly items: readonly Item[];
	readonly add: (item: Item) => void;
};
