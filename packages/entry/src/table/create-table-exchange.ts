/**
Propagates the operators' table between neighbours.

Every heartbeat carries the sender's table revision. The side with the lower
revision requests the missing edits over the same link, so that only a few
processes watch the platform's service and the others use links that exist anyway.
*/
import * as z from 'zod';
import type {Revision} from '@siskinhub/core/ids/revision.js';
import type {MessageBodyInit} from '@siskinhub/peer/message-body-init.js';
import type {PeerLink} from '@siskinhub/peer/peer-link.js';
import type {TableDelta} from '@siskinhub/platform/table/table-delta.js';

const REQUEST_TIMEOUT_MS = 2000;

type TableCopy = {
	readonly revision: () => Revision;
	readonly getDeltaSince: (revision: Revision) => TableDelta | undefined;
	readonly applyDelta: (delta: TableDelta) => boolean;
};

type TableExchange = {
	/** Requests the missing edits if the neighbour's revision is higher; one request at a time. */
	readonly receiveRevision: (link: PeerLink, revision: number) => void;
	/** Builds the reply to a neighbour that has the table up to `revision`. */
	readonly answer: (revision: number) => MessageBodyInit;
};

const deltaSchema = z.object({kind: z.enum(['edits', 'full'])});

const parseDelta = (text: string): TableDelta | undefined => {
	if (text === '') {
		return undefined;
	}

	const delta = JSON.parse(text) as unknown;
	return deltaSchema.safeParse(delta).success ? delta as TableDelta : undefined;
};

/** Creates the exchange over one process's copy of the table. */
export const createTableExchange = (table: TableCopy): TableExchange => {
	let isFetching = false;

	const fetchDelta = async (link: PeerLink) => {
		const reply = await link.request({case: 'tableSince', value: {revision: BigInt(table.revision())}}, {timeoutMs: REQUEST_TIMEOUT_MS});
		if (reply.isOk() && reply.value.case === 'tableDelta') {
			const delta = parseDelta(reply.value.value.state);
			if (delta) {
				table.applyDelta(delta);
			}
		}
	};

	return {
		receiveRevision(link, revision) {
			if (isFetching || revision <= table.revision()) {
				return;
			}

			isFetching = true;
			void (async () => {
				await fetchDelta(link);
				isFetching = false;
			})();
		},
		answer(revision) {
			const delta = table.getDeltaSince(revision as Revision);
			return {
				case: 'tableDelta',
				value: {revision: BigInt(table.revision()), state: delta ? JSON.stringify(delta) : ''},
			};
		},
	};
};
