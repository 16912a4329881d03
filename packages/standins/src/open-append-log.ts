/**
Opens the log in which a stand-in records what it executed. Items are kept in
memory and, if a file is given, appended to it synchronously as JSON lines, so
that they survive a crash of the stand-in.
*/
import {appendFileSync, existsSync, readFileSync} from 'node:fs';
import type {AppendLog} from './append-log.js';

/** Skips empty and incomplete lines; a complete record ends with `}`. */
const parseLines = <Item>(text: string): Item[] => text
	.split('\n')
	.filter(line => line.endsWith('}'))
	.map(line => JSON.parse(line) as Item);

/** Items that an earlier process wrote to `file` come first. */
export const openAppendLog = <Item>(file: string | undefined): AppendLog<Item> => {
	const items = file !== undefined && existsSync(file) ? parseLines<Item>(readFileSync(file, 'utf8')) : [];
	return {
		items,
		add(item) {
			items.push(item);
			if (file !== undefined) {
				appendFileSync(file, `${JSON.stringify(item)}\n`);
			}
		},
	};
};
