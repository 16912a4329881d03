/**
Adds the table rows that the programs of a proof refer to.
*/
import {setTimeout as sleep} from 'node:timers/promises';
import type {Cluster} from '../cluster/cluster.js';
import {sendJsonRequest} from '../cluster/send-json-request.js';

const MAX_RETRIES = 40;
const RETRY_DELAY_MS = 250;
const HTTP_BAD_REQUEST = 400;
const HEADERS = {'siskinhub-operator': 'prove'};

/** Resolves with whether the entry had all rows already. */
const addMissingRows = async (address: string, rows: readonly string[]): Promise<boolean> => {
	const table = await sendJsonRequest('GET', `${address}/v1/table`, {headers: HEADERS});
	if (table.status === HTTP_BAD_REQUEST) {
		// An entry that does not serve the table does not check rows.
		return true;
	}

	const {revision, rows: known} = table.body as {readonly revision: number; readonly rows: Readonly<Record<string, unknown>>};
	const missing = rows.filter(row => !(row in known));
	if (missing.length > 0) {
		const changes = missing.map(row => ({kind: 'add-row', row}));
		await sendJsonRequest('POST', `${address}/v1/table/edits`, {headers: HEADERS, body: {editId: `prepare-${Date.now()}`, against: revision, changes}});
	}

	return missing.length === 0;
};

/** Adds missing rows, and resolves with whether there were none; an entry that does not answer yet counts as missing them. */
const ensureRows = async (address: string, rows: readonly string[]): Promise<boolean> => {
	try {
		return await addMissingRows(address, rows);
	} catch {
		return false;
	}
};

/** Resolves when every entry has the rows; throws if an entry still lacks them after all retries. */
export const prepareTable = async ({entries}: Cluster, workspace: string): Promise<void> => {
	const rows = ['deployment/proof', 'kind/agent', `workspace/${workspace}`];
	for (const {name, address} of entries) {
		for (let attempt = 0; !await ensureRows(address, rows); attempt++) {
			if (attempt === MAX_RETRIES) {
				throw new Error(`${name} still lacks the table rows of the proof; see its log`);
			}

			await sleep(RETRY_DELAY_MS);
		}
	}
};
