/**
The cells that a row of the table may have. Every one is enforced.
*/

/** A cell's name as operators write it. */
export type CellName =
	// Share of the row among rows that wait for the same upstream.
	| 'weight'
	// Higher goes first; rows of the same priority share by weight.
	| 'priority'
	// Tokens that all programs of the row may spend in total.
	| 'budget'
	// Tokens that one program of the row may spend.
	| 'program-budget'
	// Calls of the row that may run at the same time.
	| 'concurrency'
	// Turns of one program.
	| 'turns'
	// Seconds from a program's start to its end.
	| 'wall-time'
	// Seconds between the end of a turn and the next call, while the program waits for its tool.
	| 'tool-time'
	// Seconds without any sign of the program's caller before the program is ended.
	| 'idle-time'
	// Output tokens of one call.
	| 'output-tokens';
