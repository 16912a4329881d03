/**
Asks the entries whether an edit whose answer was lost took effect.
*/
import {setTimeout as delay} from 'node:timers/promises';
import {err, ok, type Result} from 'neverthrow';
import type {EditFailure} from './edit-failure.js';
import type {OperatorClient} from './operator-client.js';
import {RevisionSchema} from './revision-schema.js';

type FateOptions = {
	readonly editId: string;
	/** The revision that the edit is based on. */
	readonly against: number;
	/** Why the answer was lost. */
	readonly message: string;
	/** How long to go on asking. */
	readonly waitMs: number;
};

const FIRST_RETRY_DELAY_MS = 200;
const MAX_RETRY_DELAY_MS = 2000;

/** Asks the entries in order and repeats with backoff until one can tell or `waitMs` has passed. Returns the accepted revision. */
export const findEditFate = async (client: OperatorClient, {editId, against, message, waitMs}: FateOptions): Promise<Result<number, EditFailure>> => {
	const deadline = Date.now() + waitMs;
	let delayMs = FIRST_RETRY_DELAY_MS;
	for (;;) {
		const fate = await client.ask({method: 'GET', path: `/v1/table/edits/${encodeURIComponent(editId)}?against=${against}`, schema: RevisionSchema});
		if (fate.isOk()) {
			return ok(fate.value.revision);
		}

		if (fate.error.kind === 'refused' && fate.error.refusal.code === 'unknown-request') {
			return err({kind: 'not-accepted', editId, message});
		}

		if (Date.now() + delayMs > deadline) {
			return err({kind: 'unknown', editId, message});
		}

		await delay(delayMs);
		delayMs = Math.min(2 * delayMs, MAX_RETRY_DELAY_MS);
	}
};
