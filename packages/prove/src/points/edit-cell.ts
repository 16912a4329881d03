/**
Sets one cell of the table and finds out whether the edit took effect.
*/
import {setTimeout as sleep} from 'node:timers/promises';
import {sendJsonRequest} from '../cluster/send-json-request.js';
import type {Recorder} from '../history/recorder.js';

const MAX_RESOLVE_ATTEMPTS = 60;
const RETRY_DELAY_MS = 250;
const HTTP_OK = 200;
const HTTP_NOT_FOUND = 404;
const HTTP_CONFLICT = 409;

/** `revision` is absent if the edit did not take effect; `isKnown` is false if no entry could say whether it did. */
type EditAnswer = {readonly answeredAt: number; readonly revision?: number; readonly isKnown: boolean};

type EditOptions = {
	readonly recorder: Recorder;
	/** The first entry receives the edit; all of them are asked in turn whether it took effect. */
	readonly entries: ReadonlyArray<{readonly name: string; readonly address: string}>;
	readonly operator: string;
	readonly editId: string;
	readonly against: number;
	readonly row: string;
	readonly cell: string;
	readonly value: number;
};

const readRevision = (body: unknown): number => (body as {readonly revision: number}).revision;

/** Asks the entries in turn until one of them says whether the edit took effect. */
const resolveEdit = async ({entries, operator, editId, against}: EditOptions): Promise<EditAnswer> => {
	for (let attempt = 0; attempt < MAX_RESOLVE_ATTEMPTS; attempt++) {
		await sleep(RETRY_DELAY_MS);
		try {
			const {address} = entries[attempt % entries.length]!;
			const {status, body} = await sendJsonRequest('GET', `${address}/v1/table/edits/${editId}?against=${against}`, {headers: {'siskinhub-operator': operator}});
			if (status === HTTP_OK) {
				return {answeredAt: Date.now(), revision: readRevision(body), isKnown: true};
			}

			if (status === HTTP_NOT_FOUND) {
				return {answeredAt: Date.now(), isKnown: true};
			}
		} catch {
			// The next attempt asks another entry.
		}
	}

	return {answeredAt: Date.now(), isKnown: false};
};

const sendEdit = async ({entries, operator, editId, against, row, cell, value}: EditOptions): Promise<EditAnswer> => {
	const {status, body} = await sendJsonRequest('POST', `${entries[0]!.address}/v1/table/edits`, {
		headers: {'siskinhub-operator': operator},
		body: {
			editId, against, changes: [{
				kind: 'set', row, cell, value,
			}],
		},
	});
	const isKnown = status === HTTP_OK || status === HTTP_CONFLICT;
	return {answeredAt: Date.now(), isKnown, ...status === HTTP_OK && {revision: readRevision(body)}};
};

/** Records the edit as an operation. */
export const editCell = async (options: EditOptions): Promise<EditAnswer> => {
	const {recorder, entries, editId, row, cell, value} = options;
	const open = recorder.invoke({kind: 'edit', via: entries[0]!.name, detail: `${row}.${cell}=${value}`});
	let answer: EditAnswer;
	try {
		answer = await sendEdit(options);
	} catch {
		answer = {answeredAt: Date.now(), isKnown: false};
	}

	const resolved = answer.isKnown ? answer : await resolveEdit(options);
	open.complete(resolved.isKnown ? {kind: 'done', value: {editId, revision: resolved.revision}} : {kind: 'cut', message: `the fate of ${editId} could not be learned`});
	return resolved;
};
