/**
What all commands share that talk to an entry.
*/
import process from 'node:process';
import type {Result} from 'neverthrow';
import {createEntryClient} from '../entry/create-entry-client.js';
import type {EntryClient} from '../entry/entry-client.js';
import type {EntryError} from '../entry/entry-error.js';
import {BaseCommand} from './base-command.js';
import {CONNECTION_FLAGS} from './connection-flags.js';
import {describeEntryError} from './describe-entry-error.js';
import {resolveConnection} from './resolve-connection.js';

type ConnectionFlags = Parameters<typeof resolveConnection>[0];

/** A command with the flags of a connection. */
export abstract class EntryCommand extends BaseCommand {
	static override baseFlags = CONNECTION_FLAGS;

	/** Fails the command if no entry is known. */
	protected async connect(flags: ConnectionFlags): Promise<EntryClient> {
		const connection = await resolveConnection(flags, process.env);
		return connection.isOk() ? createEntryClient(connection.value) : this.fail(connection.error);
	}

	/** Returns the answer, or fails the command with what went wrong. */
	protected expectAnswer<Answer>(answer: Result<Answer, EntryError>): Answer {
		return answer.isOk() ? answer.value : this.fail(describeEntryError(answer.error));
	}
}
