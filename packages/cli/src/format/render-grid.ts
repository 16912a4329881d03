/**
Prints tables of text.
*/
import CliTable from 'cli-table3';

type GridCell = string | number | undefined;

/** A table with a heading; cells without a value stay empty. */
export const renderGrid = (head: readonly string[], rows: ReadonlyArray<readonly GridCell[]>): string => {
	// Without colours, so that the output reads the same in a file.
	const grid = new CliTable({head: [...head], style: {head: [], border: []}});
	grid.push(...rows.map(row => row.map(cell => cell === undefined ? '' : String(cell))));
	return grid.toString();
};
