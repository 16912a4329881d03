/**
Reads the table from one entry.
*/
import {sendJsonRequest} from '../cluster/send-json-request.js';

const HEADERS = {'siskinhub-operator': 'prove'};

type TableBody = {readonly revision: number; readonly rows: Readonly<Record<string, Readonly<Record<string, {readonly value: number}>>>>};

/** Resolves with the revision and the values by `ROW.CELL`, or with `undefined` if the entry did not return its table. */
export const readTable = async (address: string): Promise<{readonly revision: number; readonly cells: Readonly<Record<string, number>>} | undefined> => {
	try {
		const {status, body} = await sendJsonRequest('GET', `${address}/v1/table`, {headers: HEADERS});
		if (status !== 200) {
			return undefined;
		}

		const {revision, rows} = body as TableBody;
		const cells = Object.entries(rows).flatMap(([row, columns]) => Object.entries(columns).map(([cell, {value}]) => [`${row}.${cell}`, value] as const));
		return {revision, cells: Object.fromEntries(cells)};
	} catch {
		return undefined;
	}
};
