/**
The cells that a row of the table may have. The system enforces all of them.
*/

/** The name of a cell as operators write it. */
export type CellName =
	// Relative share of the row among the rows with calls waiting for the same upstream.
	| 'weight'
	// Calls of higher priority go first; rows of equal priority share by weight.
	| 'priority'
	// Tokens that all programs of the row together may spend.
	| 'budget'
	// Tokens that one program of the row may spend.
	| 'program-budget'
	// Calls of the row that may run at the same time.
	| 'concurrency'
	// Number of turns of one program.
	| 'turns'
	// Seconds that a program may last from its start.
	| 'wall-time'
	// Seconds that a program may wait for its tool, from the end of a turn to the next call.
	| 'tool-time'
	// Seconds without a message from the program's caller after which the program is ended.
	| 'idle-time'
	// Output tokens that one call may generate.
	| 'output-tokens';
