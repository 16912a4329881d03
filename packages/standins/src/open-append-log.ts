/**
A stand-in's record of what truly ran, kept in memory and, where a file is
named, appended to it at once, so that it survives a crash of the stand-in.
*/
import {appendFileSync, existsSync, readFileSync} from 'node:fs';
import type {AppendLog} from './append-log.js';

const parseLines = <Item>(text: string): Item[] => text
	.split('\n')
	.filter(line => line.endsWith('}'))
	.map(line => JSON.parse(line) as Item);

/** Opens the log; items that an earlier process left in `file` come first. */
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
