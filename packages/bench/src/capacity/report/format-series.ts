/**
Formats a series as a text table. The last three rows describe the line fitted
through each column.
*/
import {fitLine} from './fit-line.js';
import type {Series} from './series.js';

const FIRST_COLUMN_WIDTH = 14;
const COLUMN_GAP = 2;
const DIGITS = 3;

const formatNumber = (value: number): string => {
	const magnitude = Math.abs(value);
	if (value === 0) {
		return '0';
	}

	return magnitude >= 1000 ? Math.round(value).toLocaleString('en') : value.toPrecision(DIGITS);
};

/** Leaves a cell empty where a point has no value for the column. */
export const formatSeries = ({name, xName, note, points}: Series): string => {
	const columns = [...new Set(points.flatMap(({values}) => Object.keys(values)))];
	const formatRow = (label: string, cells: readonly string[]): string => {
		const padded = cells.map((cell, index) => cell.padStart(Math.max(columns[index]?.length ?? 0, 8) + COLUMN_GAP));
		return `${label.padEnd(FIRST_COLUMN_WIDTH)}${padded.join('')}`;
	};

	const fittedLines = columns.map(column => fitLine(points.flatMap(({x, values}) => values[column] === undefined ? [] : [[x, values[column]] as const])));
	return [
		`## ${name}`,
		note,
		formatRow(xName, columns),
		...points.map(({x, values}) => formatRow(formatNumber(x), columns.map(column => values[column] === undefined ? '' : formatNumber(values[column])))),
		formatRow('slope', fittedLines.map(line => line ? line.slope.toPrecision(DIGITS) : '')),
		formatRow('intercept', fittedLines.map(line => line ? formatNumber(line.intercept) : '')),
		formatRow('r2', fittedLines.map(line => line ? line.r2.toFixed(DIGITS) : '')),
	].join('\n');
};
