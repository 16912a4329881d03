/**
Formats a series as a table, with the line fitted through each column below.
*/
import {fitLine} from './fit-line.js';
import type {Series} from './series.js';

const FIRST_WIDTH = 14;
const GAP = 2;
const DIGITS = 3;

const formatNumber = (value: number): string => {
	const magnitude = Math.abs(value);
	if (value === 0) {
		return '0';
	}

	return magnitude >= 1000 ? Math.round(value).toLocaleString('en') : value.toPrecision(DIGITS);
};

/** Columns that some point lacks stay empty there. */
export const formatSeries = ({name, xName, note, points}: Series): string => {
	const columns = [...new Set(points.flatMap(({values}) => Object.keys(values)))];
	const formatRow = (head: string, cells: readonly string[]): string => {
		const padded = cells.map((cell, index) => cell.padStart(Math.max(columns[index]?.length ?? 0, 8) + GAP));
		return `${head.padEnd(FIRST_WIDTH)}${padded.join('')}`;
	};

	const lines = columns.map(column => fitLine(points.flatMap(({x, values}) => values[column] === undefined ? [] : [[x, values[column]] as const])));
	return [
		`## ${name}`,
		note,
		formatRow(xName, columns),
		...points.map(({x, values}) => formatRow(formatNumber(x), columns.map(column => values[column] === undefined ? '' : formatNumber(values[column])))),
		formatRow('slope', lines.map(line => line ? line.slope.toPrecision(DIGITS) : '')),
		formatRow('intercept', lines.map(line => line ? formatNumber(line.intercept) : '')),
		formatRow('r2', lines.map(line => line ? line.r2.toFixed(DIGITS) : '')),
	].join('\n');
};
