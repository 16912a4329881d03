/**
The rows of the table that govern one program.
*/

/** Names of a program's three rows, without the prefix of their kind. */
export type ProgramRows = {
	readonly deployment: string;
	readonly kind: string;
	readonly workspace: string;
};
