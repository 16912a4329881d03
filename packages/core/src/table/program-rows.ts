/**
The rows of the table that apply to one program.
*/

/** Names of the program's three rows, without the prefixes that row keys have. */
export type ProgramRows = {
	readonly deployment: string;
	readonly kind: string;
	readonly workspace: string;
};
