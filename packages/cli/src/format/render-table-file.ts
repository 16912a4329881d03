/**
Renders the operators' table as YAML for a file in version control.
*/
import {stringify} from 'yaml';
import type {TableView} from '../table/table-view.js';

/** Rows are grouped by kind and sorted by name. `siskinhub table apply` reads the file back. */
export const renderTableFile = ({rows}: TableView): string => {
	const groups = new Map<string, Map<string, Record<string, number>>>();
	for (const [row, cells] of Object.entries(rows).toSorted(([a], [b]) => a.localeCompare(b))) {
		const slash = row.indexOf('/');
		const kind = row.slice(0, slash);
		const group = groups.get(kind) ?? new Map<string, Record<string, number>>();
		group.set(row.slice(slash + 1), Object.fromEntries(Object.entries(cells).map(([cell, {value}]) => [cell, value])));
		groups.set(kind, group);
	}

	return stringify(groups);
};
