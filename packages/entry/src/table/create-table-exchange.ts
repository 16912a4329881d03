/**
Spreads the operators' table between neighbours.

Every heartbeat carries the revision that its sender knows. The side that knows
less asks for what it lacks, so that few processes watch the platform's service
and the rest learn from whom they talk to anyway.
*/
import * as z from 'zod';
import type {Revision} from '@siskinhub/core/ids/revision.js';
import type {BodyInit} from '@siskinhub/peer/body-init.js';
import type {PeerLink} from '@siskinhub/peer/peer-link.js';
import type {TableDelta} from '@siskinhub/platform/table/table-delta.js';

const ASK_TIMEOUT_MS = 2000;

type TableCopy = {
	readonly revision: () => Revision;
	readonly deltaSince: (revision: Revision) => TableDelta | undefined;
	readonly applyDelta: (delta: TableDelta) => boolean;
};

type TableExchange = {
	/** Asks the neighbour for what this process lacks, once at a time. */
	readonly receiveRevision: (link: PeerLink, revision: number) => void;
	/** Answers a neighbour that asks for what it lacks. */
	readonly answer: (revision: number) => BodyInit;
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
	let isAsking = false;

	const fetch = async (link: PeerLink) => {
		const reply = await link.request({case: 'tableSince', value: {revision: BigInt(table.revision())}}, {timeoutMs: ASK_TIMEOUT_MS});
		if (reply.isOk() && reply.value.case === 'tableDelta') {
			const delta = parseDelta(reply.value.value.state);
			if (delta) {
				table.applyDelta(delta);
			}
		}
	};

	return {
		receiveRevision(link, revision) {
			if (isAsking || revision <= table.revision()) {
				return;
			}

			isAsking = true;
			void (async () => {
				await fetch(link);
				isAsking = false;
			})();
		},
		answer(revision) {
			const delta = table.deltaSince(revision as Revision);
			return {
				case: 'tableDelta',
				value: {revision: BigInt(table.revision()), state: delta ? JSON.stringify(delta) : ''},
			};
		},
	};
};
