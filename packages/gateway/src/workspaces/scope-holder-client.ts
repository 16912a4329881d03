/**
Keeps what the holders store for one workspace apart from that of all others: programs,
their tokens, turns, and the origins and events of streams.

The only place where ids of a scope are made for the holders, which know nothing of
workspaces.
*/
import type {HolderClient} from '@siskinhub/turns/client/holder-client.js';
import {scopeId} from './scope-id.js';

/** For deployments that declare workspaces; in others `client` is used as it is, so that ids stay plain. */
export const scopeHolderClient = (client: HolderClient, scope: string): HolderClient => {
	const toScope = (id: string): string => scopeId(scope, id);
	const toScoped = <T extends {readonly program: string; readonly attempt: string}>(stream: T): T => ({...stream, program: toScope(stream.program), attempt: toScope(stream.attempt)});

	return {
		...client,
		reserve: async (attempt, timeoutMs) => client.reserve({...toScoped(attempt), previousTurn: attempt.previousTurn && toScope(attempt.previousTurn)}, timeoutMs),
		async readTurns(program, turn, timeoutMs, attempt) {
			const deadline = Date.now() + timeoutMs;
			const read = await client.readTurns(toScope(program), toScope(turn), timeoutMs, attempt === undefined ? undefined : toScope(attempt));
			if (read.kind !== 'unknown') {
				return read;
			}

			// The turn may be of the time before the deployment declared workspaces. Turns of another workspace are not found by it.
			const earlier = await client.readTurns(program, turn, deadline - Date.now());
			return earlier.kind === 'found' ? {...earlier, isFromOtherGroup: true} : earlier;
		},
		settle: async (attempt, turn, timeoutMs) => client.settle(toScoped(attempt), turn && {
			// The chain has its turns under the ids by which they are stored.
			...turn, previous: turn.ancestors.at(-1)?.id ?? (turn.previous === '' ? '' : toScope(turn.previous)),
		}, timeoutMs),
		recordOrigin: async (stream, timeoutMs) => client.recordOrigin(toScoped(stream), timeoutMs),
		readOrigin: async (stream, timeoutMs) => client.readOrigin(toScoped(stream), timeoutMs),
		appendOutput(stream, offset, events) {
			client.appendOutput(toScoped(stream), offset, events);
		},
		readOutput: async (stream, lastEventId, timeoutMs) => client.readOutput(toScoped(stream), lastEventId, timeoutMs),
		cutOffForMs: program => client.cutOffForMs(toScope(program)),
	};
};
