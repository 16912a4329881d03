/**
Base class of the commands that send requests to an entry.
*/
import process from 'node:process';
import type {Result} from 'neverthrow';
import {createOperatorClient} from '../entry/create-operator-client.js';
import type {OperatorClient} from '../entry/operator-client.js';
import type {EntryError} from '../entry/entry-error.js';
import {BaseCommand} from './base-command.js';
import {CONNECTION_FLAGS} from './connection-flags.js';
import {describeEntryError} from './describe-entry-error.js';
import {resolveConnection} from './resolve-connection.js';

type ConnectionFlags = Parameters<typeof resolveConnection>[0];

/** Adds the connection flags. */
export abstract class EntryCommand extends BaseCommand {
	static override baseFlags = CONNECTION_FLAGS;

	/** Fails the command if the flags, settings and environment give no valid connection. */
	protected async connect(flags: ConnectionFlags): Promise<OperatorClient> {
		const connection = await resolveConnection(flags, process.env);
		return connection.isOk() ? createOperatorClient(connection.value) : this.fail(connection.error);
	}

	/** Returns the response, or fails the command with the error. */
	protected expectResponse<Value>(response: Result<Value, EntryError>): Value {
		return response.isOk() ? response.value : this.fail(describeEntryError(response.error));
	}
}
