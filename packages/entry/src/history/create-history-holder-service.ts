/**
Stores copies of program histories in the data folder and answers the messages
of shard owners and other entries about them.
*/
import {randomUUID} from 'node:crypto';
import {mkdir, readFile, writeFile} from 'node:fs/promises';
import path from 'node:path';
import {err, ok, type Result} from 'neverthrow';
import type {Epoch} from '@siskinhub/core/ids/epoch.js';
import type {ProgramId} from '@siskinhub/core/ids/program-id.js';
import type {ShardId} from '@siskinhub/core/ids/shard-id.js';
import type {HistoryError} from '@siskinhub/history/history-error.js';
import type {HistoryStore} from '@siskinhub/history/history-store.js';
import {openHistoryStore} from '@siskinhub/history/open-history-store.js';
import type {MessageBody} from '@siskinhub/peer/message-body.js';
import type {MessageBodyInit} from '@siskinhub/peer/message-body-init.js';
import {decodeHeader} from './decode-header.js';
import {decodeHistory} from './decode-history.js';
import {decodeTurn} from './decode-turn.js';
import {encodeTurn} from './encode-turn.js';
import type {HistoryHolderService} from './history-holder-service.js';

const FOLDER_ID_FILE = 'folder-id';
const STORE_FOLDER = 'histories';
const LIST_PAGE_PROGRAMS = 2000;
const ACKNOWLEDGED: MessageBodyInit = {case: 'acknowledged', value: {}};
const NO_DATA_FOLDER_SERVICE: HistoryHolderService = {
	dataFolderId: '',
	answer: async () => undefined,
	close: async () => undefined,
};

const readFolderId = async (folder: string): Promise<string> => {
	await mkdir(folder, {recursive: true});
	const file = path.join(folder, FOLDER_ID_FILE);
	try {
		return await readFile(file, 'utf8');
	} catch {
		const id = randomUUID();
		await writeFile(file, id, {flush: true});
		return id;
	}
};

const toRefusedReply = (error: HistoryError): MessageBodyInit => ({
	case: 'refused',
	value: {code: error.kind, message: JSON.stringify(error)},
});

const acknowledge = (written: Result<void, HistoryError>): MessageBodyInit => written.isOk() ? ACKNOWLEDGED : toRefusedReply(written.error);

const listShard = (store: HistoryStore, shard: ShardId, after: string): MessageBodyInit => {
	const rest = store.listPrograms(shard).filter(copy => copy.program > after).toSorted((a, b) => a.program < b.program ? -1 : 1);
	return {case: 'shardCopy', value: {programs: rest.slice(0, LIST_PAGE_PROGRAMS), more: rest.length > LIST_PAGE_PROGRAMS}};
};

const readHistory = async (store: HistoryStore, program: ProgramId): Promise<MessageBodyInit> => {
	const read = await store.readHistory(program);
	if (read.isOk()) {
		const {header, turns, ended, epoch} = read.value;
		return {
			case: 'history',
			value: {
				header, turns: turns.map(turn => encodeTurn(turn)), ended, epoch: BigInt(epoch),
			},
		};
	}

	// An empty history, since a holder that never had the program also counts towards the read quorum.
	return read.error.kind === 'unknown-program' ? {case: 'history', value: {}} : toRefusedReply(read.error);
};

const createMessageHandler = (store: HistoryStore, dataFolderId: string) => async (body: MessageBody): Promise<MessageBodyInit | undefined> => {
	switch (body.case) {
		case 'writeHeader': {
			const {header, epoch} = body.value;
			return header && acknowledge(await store.startProgram(decodeHeader(header), Number(epoch) as Epoch));
		}

		case 'appendTurn': {
			const {turn, epoch} = body.value;
			return turn && acknowledge(await store.appendTurn(decodeTurn(turn), Number(epoch) as Epoch));
		}

		case 'markEnded': {
			return acknowledge(await store.endProgram(body.value.program as ProgramId, Number(body.value.epoch) as Epoch));
		}

		case 'repairProgram': {
			const history = body.value.history && decodeHistory(body.value.history);
			const epoch = Number(body.value.epoch) as Epoch;
			if (!history) {
				return undefined;
			}

			const repaired = await store.repairProgram(history.header, history.turns, epoch);
			return acknowledge(repaired.isOk() && history.ended ? await store.endProgram(history.header.program, epoch) : repaired);
		}

		case 'fenceShard': {
			if (body.value.dataFolderId !== dataFolderId) {
				return {case: 'refused', value: {code: 'other-folder', message: 'This host\'s data folder was replaced; it holds no copy of the shard.'}};
			}

			return acknowledge(await store.fenceShard(body.value.shard as ShardId, Number(body.value.epoch) as Epoch));
		}

		case 'listShard': {
			return listShard(store, body.value.shard as ShardId, body.value.afterProgram);
		}

		case 'readHistory': {
			return readHistory(store, body.value.program as ProgramId);
		}

		default: {
			return undefined;
		}
	}
};

/** Opens the data folder; without one the service answers no message. Fails with a message for the operator. */
export const createHistoryHolderService = async (dataFolder: string | undefined): Promise<Result<HistoryHolderService, string>> => {
	if (dataFolder === undefined) {
		return ok(NO_DATA_FOLDER_SERVICE);
	}

	const dataFolderId = await readFolderId(dataFolder);
	const store = await openHistoryStore(path.join(dataFolder, STORE_FOLDER));
	if (store.isErr()) {
		return err(`cannot open the data folder ${dataFolder}: ${JSON.stringify(store.error)}; move it away, and the shard owners copy the histories to a new one`);
	}

	return ok({
		dataFolderId,
		answer: createMessageHandler(store.value, dataFolderId),
		close: store.value.close,
	});
};
