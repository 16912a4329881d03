/**
Routes over the operators' table: read, edit, find an edit, history.
*/
import * as z from 'zod';
import type {Revision} from '@siskinhub/core/ids/revision.js';
import type {Refusal} from '@siskinhub/core/refusal/refusal.js';
import type {EditRefusal} from '@siskinhub/core/table/edit-refusal.js';
import type {TableEdit} from '@siskinhub/core/table/table-edit.js';
import type {createTable} from '@siskinhub/platform/table/create-table.js';
import type {HttpRequest} from './http-request.js';
import type {HttpRoute} from './http-route.js';
import {readJson} from './read-json.js';
import type {RouteContext} from './route-context.js';
import {sendJson} from './send-json.js';
import {sendRefusal} from './send-refusal.js';

type Table = ReturnType<typeof createTable>;

const EDIT_TIMEOUT_MS = 5000;
const RETRY_AFTER_MS = 1000;
const DEFAULT_HISTORY_EDITS = 50;
const MAX_CHANGES = 2000;

const changeSchema = z.discriminatedUnion('kind', [
	z.strictObject({
		kind: z.literal('set'), row: z.string(), cell: z.string(), value: z.number(),
	}),
	z.strictObject({kind: z.literal('clear'), row: z.string(), cell: z.string()}),
	z.strictObject({kind: z.literal('add-row'), row: z.string()}),
	z.strictObject({kind: z.literal('remove-row'), row: z.string()}),
]);

const editSchema = z.strictObject({
	editId: z.string(),
	against: z.int().min(0),
	changes: z.array(changeSchema).min(1).max(MAX_CHANGES),
});

const describeRefusal = (refusal: EditRefusal): {readonly refusal: Refusal; readonly details: Record<string, unknown>} => {
	switch (refusal.kind) {
		case 'conflict': {
			return {
				refusal: {code: 'edit-conflict', message: 'Another operator changed the same cells; read the table again and decide anew.'},
				details: {conflicts: refusal.conflicts},
			};
		}

		case 'invalid': {
			return {refusal: {code: 'bad-request', message: `The edit changed nothing: ${refusal.faults.join(' ')}`}, details: {faults: refusal.faults}};
		}

		case 'abandoned': {
			return {refusal: {code: 'edit-conflict', message: 'This edit was given up before it took effect; make it again under a new edit id.'}, details: {}};
		}
	}
};

/** `not-run` where the edit certainly changed nothing, so that its editor need not ask. */
const describeOutage = (editId: string, isUnknown: boolean): Refusal => isUnknown
	? {code: 'unavailable', message: `The platform's service did not say whether the edit took effect; ask GET /v1/table/edits/${editId}.`, retryAfterMs: RETRY_AFTER_MS}
	: {code: 'not-run', message: 'The platform\'s service does not answer and the edit changed nothing; make it again later.', retryAfterMs: RETRY_AFTER_MS};

/** Creates the routes of one entry. */
export const createTableRoutes = ({cfg, log}: Pick<RouteContext, 'cfg' | 'log'>, table: Table): HttpRoute[] => {
	const show = async ({res}: HttpRequest) => {
		const {revision, rows} = table.state().table;
		sendJson(res, 200, {revision, rows});
	};

	const edit = async ({req, res, operator}: HttpRequest) => {
		const body = await readJson(req, cfg.limits.maxBodyBytes, editSchema);
		if (body.isErr()) {
			sendRefusal(res, body.error);
			return;
		}

		const submitted = await table.submitEdit({
			editId: body.value.editId,
			who: operator,
			at: Date.now(),
			against: body.value.against as Revision,
			// The table itself checks names of rows and cells, and reports all faults at once.
			changes: body.value.changes as unknown as TableEdit['changes'],
		}, {timeoutMs: EDIT_TIMEOUT_MS});
		if (submitted.isOk()) {
			log.info('edit accepted', {editId: body.value.editId, revision: submitted.value.revision, who: operator});
			sendJson(res, 200, {revision: submitted.value.revision});
			return;
		}

		const {error} = submitted;
		if (error.kind === 'conflict' || error.kind === 'invalid' || error.kind === 'abandoned') {
			const {refusal, details} = describeRefusal(error);
			sendRefusal(res, refusal, details);
		} else if (error.kind === 'too-large') {
			sendRefusal(res, {code: 'too-large', message: `The edit changed nothing: ${error.message}`});
		} else {
			sendRefusal(res, describeOutage(body.value.editId, error.kind === 'unavailable' && error.fate === 'unknown'));
		}
	};

	const find = async ({res, params, url}: HttpRequest) => {
		const [editId = ''] = params;
		const against = url.searchParams.get('against');
		const fate = await table.findEdit({editId, ...(against !== null && {against: Number(against) as Revision})});
		if (fate.isErr()) {
			sendRefusal(res, {code: 'unavailable', message: fate.error.message, retryAfterMs: RETRY_AFTER_MS});
		} else if (fate.value.kind === 'accepted') {
			sendJson(res, 200, {revision: fate.value.revision});
		} else {
			sendRefusal(res, {code: 'unknown-request', message: 'The edit did not take effect and never will; make it again under a new edit id.'});
		}
	};

	const history = async ({res, url}: HttpRequest) => {
		const limit = Number(url.searchParams.get('limit') ?? DEFAULT_HISTORY_EDITS);
		if (!Number.isSafeInteger(limit) || limit < 1) {
			sendRefusal(res, {code: 'bad-request', message: 'limit is no whole number above 0; give a number of edits.'});
			return;
		}

		sendJson(res, 200, {edits: table.state().edits.slice(-limit).toReversed()});
	};

	return [
		{
			method: 'GET', pattern: /^\/v1\/table$/v, audience: 'operator', handle: show,
		},
		{
			method: 'POST', pattern: /^\/v1\/table\/edits$/v, audience: 'operator', handle: edit,
		},
		{
			method: 'GET', pattern: /^\/v1\/table\/edits\/([^\/]+)$/v, audience: 'operator', handle: find,
		},
		{
			method: 'GET', pattern: /^\/v1\/table\/history$/v, audience: 'operator', handle: history,
		},
	];
};
