/**
Writes one entry into its slot and tries again until its fate is known. Trying
the same compare-and-swap again is what decides a lost answer: it either stores
the entry, or meets what the slot holds instead, and once the slot's version
has risen no delayed copy of the write can take effect any more.
*/
import type {PlatformClient} from '../platform-client.js';
import type {PutOutcome} from '../put-outcome.js';
import {createBackoff} from './create-backoff.js';
import type {LogEntry} from './log-entry.js';
import {parseEntry} from './parse-entry.js';

type WriteOutcome<Item> =
	| {readonly kind: 'committed'; readonly version: number}
	// Another entry stands at the index; ours never will.
	| {readonly kind: 'taken'; readonly entry: LogEntry<Item>; readonly version: number}
	// The slot holds an entry of a later lap; `mayStand` if ours may have stood there before.
	| {readonly kind: 'passed'; readonly mayStand: boolean}
	| {readonly kind: 'closed'};

type WriteRequest<Item> = {
	readonly client: PlatformClient;
	readonly key: string;
	readonly entry: LogEntry<Item>;
	readonly expectedVersion: number;
	readonly isClosed: () => boolean;
};

const interpretOutcome = <Item>(outcome: PutOutcome, entry: LogEntry<Item>, mayStand: boolean): WriteOutcome<Item> => {
	if (outcome.kind === 'stored') {
		return {kind: 'committed', version: outcome.version};
	}

	const {value = '', version = 0} = outcome.current ?? {};
	const met = parseEntry<Item>(value);
	if (met?.index !== entry.index) {
		return {kind: 'passed', mayStand};
	}

	return met.commitId === entry.commitId
		? {kind: 'committed', version}
		: {kind: 'taken', entry: met, version};
};

/** Returns the entry's fate, however long the platform's service takes to tell it. */
export const writeEntry = async <Item>({client, key, entry, expectedVersion, isClosed}: WriteRequest<Item>): Promise<WriteOutcome<Item>> => {
	const value = JSON.stringify(entry);
	const wait = createBackoff();
	let mayStand = false;
	while (!isClosed()) {
		const answer = await client.put({key, value, expectedVersion});
		if (answer.isOk()) {
			return interpretOutcome(answer.value, entry, mayStand);
		}

		mayStand = true;
		await wait();
	}

	return {kind: 'closed'};
};
