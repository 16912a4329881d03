/**
Writes one entry into its slot and retries until the outcome is known. Repeating
the same compare-and-swap resolves a lost response: it either stores the entry
or returns what the slot holds instead, and once the slot's version has
increased, no delayed duplicate of the write can take effect.
*/
import type {PlatformClient} from '../platform-client.js';
import type {PutOutcome} from '../put-outcome.js';
import {createBackoff} from './create-backoff.js';
import type {LogEntry} from './log-entry.js';
import {parseEntry} from './parse-entry.js';

type WriteOutcome<Item> =
	| {readonly kind: 'committed'; readonly version: number}
	// Another entry has the index; ours was not written and never will be.
	| {readonly kind: 'taken'; readonly entry: LogEntry<Item>; readonly version: number}
	// The slot holds an entry of a later pass through the ring, or no valid entry; ours may have been there before if `mayHaveCommitted`.
	| {readonly kind: 'passed'; readonly mayHaveCommitted: boolean}
	| {readonly kind: 'closed'};

type WriteRequest<Item> = {
	readonly client: PlatformClient;
	readonly key: string;
	readonly entry: LogEntry<Item>;
	readonly expectedVersion: number;
	/** Stops the retries. */
	readonly isClosed: () => boolean;
};

const interpretOutcome = <Item>(outcome: PutOutcome, entry: LogEntry<Item>, mayHaveCommitted: boolean): WriteOutcome<Item> => {
	if (outcome.kind === 'stored') {
		return {kind: 'committed', version: outcome.version};
	}

	const {value = '', version = 0} = outcome.current ?? {};
	const found = parseEntry<Item>(value);
	if (found?.index !== entry.index) {
		return {kind: 'passed', mayHaveCommitted};
	}

	return found.commitId === entry.commitId
		? {kind: 'committed', version}
		: {kind: 'taken', entry: found, version};
};

/** Resolves only when the outcome is known or the log is closed, with no timeout. */
export const writeEntry = async <Item>({client, key, entry, expectedVersion, isClosed}: WriteRequest<Item>): Promise<WriteOutcome<Item>> => {
	const value = JSON.stringify(entry);
	const waitBeforeRetry = createBackoff();
	let mayHaveCommitted = false;
	while (!isClosed()) {
		const answer = await client.put({key, value, expectedVersion});
		if (answer.isOk()) {
			return interpretOutcome(answer.value, entry, mayHaveCommitted);
		}

		// The response was lost, so this attempt may have stored the entry.
		mayHaveCommitted = true;
		await waitBeforeRetry();
	}

	return {kind: 'closed'};
};
