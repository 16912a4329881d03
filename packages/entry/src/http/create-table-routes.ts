/**
HTTP routes for operators: the table, its edits and its history.
*/
import * as z from 'zod';
import type {Revision} from '@siskinhub/core/ids/revision.js';
import type {createTable} from '@siskinhub/platform/table/create-table.js';
import {describeSubmitError} from './describe-submit-error.js';
import type {HttpRequest} from './http-request.js';
import type {HttpRoute} from './http-route.js';
import {readJson} from './read-json.js';
import {sendJson} from './send-json.js';
import {sendRefusal} from './send-refusal.js';
import {tableEditBodySchema} from './table-edit-body.js';

type TableContext = {
	readonly table: Pick<ReturnType<typeof createTable>, 'state' | 'submitEdit' | 'findEdit'>;
	readonly maxBodyBytes: number;
};

const DEFAULT_HISTORY_EDITS = 20;
const MAX_HISTORY_EDITS = 1000;
const FATE_RETRY_AFTER_MS = 1000;

const limitSchema = z.coerce.number().int().min(1).max(MAX_HISTORY_EDITS).default(DEFAULT_HISTORY_EDITS);
const againstSchema = z.coerce.number().int().min(0).optional();

const readParameter = (url: URL, name: string): string | undefined => url.searchParams.get(name) ?? undefined;

/** Creates the routes of one entry. */
export const createTableRoutes = ({table, maxBodyBytes}: TableContext): HttpRoute[] => {
	const showTable = async ({res}: HttpRequest) => {
		sendJson(res, 200, table.state().table);
	};

	const submitEdit = async ({req, res, operator}: HttpRequest) => {
		const body = await readJson(req, maxBodyBytes, tableEditBodySchema);
		if (body.isErr()) {
			sendRefusal(res, body.error);
			return;
		}

		const submitted = await table.submitEdit({...body.value, who: operator, at: Date.now()});
		if (submitted.isOk()) {
			sendJson(res, 200, {revision: submitted.value.revision});
			return;
		}

		const {error} = submitted;
		sendRefusal(res, describeSubmitError(body.value.editId, error), error.kind === 'conflict' ? {conflicts: error.conflicts} : {});
	};

	const findEdit = async ({res, url, params}: HttpRequest) => {
		const [editId = ''] = params;
		const against = againstSchema.safeParse(readParameter(url, 'against'));
		if (!against.success) {
			sendRefusal(res, {code: 'bad-request', message: 'against is no revision; give a whole number or leave it out.'});
			return;
		}

		const fate = await table.findEdit({editId, against: against.data as Revision | undefined});
		if (fate.isErr()) {
			sendRefusal(res, {code: 'unavailable', message: fate.error.message, retryAfterMs: FATE_RETRY_AFTER_MS});
		} else if (fate.value.kind === 'accepted') {
			sendJson(res, 200, {revision: fate.value.revision});
		} else {
			sendRefusal(res, {code: 'unknown-request', message: 'The edit did not take effect and never will; send it again under a new id.'});
		}
	};

	const showHistory = async ({res, url}: HttpRequest) => {
		const limit = limitSchema.safeParse(readParameter(url, 'limit'));
		if (!limit.success) {
			sendRefusal(res, {code: 'bad-request', message: `limit is no whole number from 1 to ${MAX_HISTORY_EDITS}; correct it.`});
			return;
		}

		const edits = table.state().edits.slice(-limit.data).toReversed();
		sendJson(res, 200, {
			edits: edits.map(({
				revision, editId, who, at, changes,
			}) => ({
				revision, editId, who, at, changes,
			})),
		});
	};

	return [
		{
			method: 'GET', pattern: /^\/v1\/table$/v, audience: 'operator', handle: showTable,
		},
		{
			method: 'POST', pattern: /^\/v1\/table\/edits$/v, audience: 'operator', handle: submitEdit,
		},
		{
			method: 'GET', pattern: /^\/v1\/table\/edits\/([^\/]+)$/v, audience: 'operator', handle: findEdit,
		},
		{
			method: 'GET', pattern: /^\/v1\/table\/history$/v, audience: 'operator', handle: showHistory,
		},
	];
};
