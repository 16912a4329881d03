/**
Renders rows of values as a text table with borders.
*/
import CliTable from 'cli-table3';

type GridCell = string | number | undefined;

/** `head` is the heading; cells without a value stay empty. */
export const renderGrid = (head: readonly string[], rows: ReadonlyArray<readonly GridCell[]>): string => {
	// Without colours, so that the output is the same in a terminal and in a file.
	const grid = new CliTable({head: [...head], style: {head: [], border: []}});
	grid.push(...rows.map(row => row.map(cell => cell === undefined ? '' : String(cell))));
	return grid.toString();
};
