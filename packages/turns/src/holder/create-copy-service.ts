/**
Answers the requests of other processes for the copies on this host's disk.

A request contains the version of the list of holders that its sender uses. The
holder rejects any version but its own, and the side with the older list must
adopt the newer one first, so that no write is counted under an outdated list.
*/
import type {HolderList as WireHolderList, Record as WireRecord} from '@siskinhub/proto/gen/siskinhub/peer/v1/peer_pb.js';
import type {MessageBody} from '@siskinhub/peer/message-body.js';
import type {MessageBodyInit} from '@siskinhub/peer/message-body-init.js';
import type {IncomingMessage} from '@siskinhub/peer/incoming-message.js';
import type {CopyStore} from '../disk/copy-store.js';
import {readChain} from './read-chain.js';

type CopyServiceOptions = {
	readonly store: CopyStore;
	/** Copies what the current holders have under that version of the list; resolves to whether all of it is on this disk. */
	readonly syncCopy: (listVersion: number) => Promise<boolean>;
	readonly onError: (message: string) => void;
};

/** About how many bytes of records one answer holds, so that copying does not block the link. */
const PULL_TARGET_BYTES = 256 * 1024;
const RECORD_OVERHEAD_BYTES = 100;

const estimateSize = ({fact}: WireRecord): number => RECORD_OVERHEAD_BYTES + (fact.case === 'turn' ? fact.value.input.length + fact.value.output.length : 0);

const REFUSED: MessageBodyInit = {case: 'refused', value: {}};

/** The returned function handles one message; it returns `false` if the message is not a request for copies. */
export const createCopyService = ({store, syncCopy, onError}: CopyServiceOptions): (message: IncomingMessage) => boolean => {
	const {index} = store;

	/** Returns the answer to a request under another version of the list, or `undefined` if the version is the holder's. */
	const checkListVersion = (version: number): MessageBodyInit | undefined => {
		const list = index.list();
		return list?.version === version ? undefined : {case: 'wrongHolders', value: {list: list ?? {}}};
	};

	const adopt = async (list: WireHolderList | undefined): Promise<MessageBodyInit> => {
		if (!list || list.version < (index.list()?.version ?? 0)) {
			return {case: 'wrongHolders', value: {list: index.list() ?? {}}};
		}

		return answerWhenStored(store.add({case: 'list', value: list}), {case: 'acknowledged', value: {}});
	};

	const answerWhenStored = async (stored: ReturnType<CopyStore['add']>, answer: MessageBodyInit): Promise<MessageBodyInit> => {
		const result = await stored;
		if (result.isErr()) {
			onError(result.error);
			return REFUSED;
		}

		return answer;
	};

	/** Starts from the beginning if the offset is from another generation of the index. */
	const readRecordPage = (position: {readonly offset: number; readonly generation: number}): MessageBodyInit => {
		const generation = index.generation();
		const offset = position.generation === generation ? position.offset : 0;
		const all = index.listRecordsFrom(offset);
		let bytes = 0;
		let count = 0;
		while (count < all.length && bytes < PULL_TARGET_BYTES) {
			bytes += estimateSize(all[count]!);
			count++;
		}

		return {
			case: 'records', value: {
				records: all.slice(0, count), nextOffset: offset + count, done: count === all.length, generation,
			},
		};
	};

	/** Returns `undefined` if the message is not a request for copies. */
	const answer = (body: MessageBody): Promise<MessageBodyInit> | MessageBodyInit | undefined => {
		switch (body.case) {
			case 'reserveTokens': {
				const {listVersion, program, use, expiresAtMs} = body.value;
				return checkListVersion(listVersion) ?? answerReservation(program, store.add({case: 'use', value: {program, use, expiresAtMs}}));
			}

			case 'settleTurn': {
				return checkListVersion(body.value.listVersion) ?? settle(body.value);
			}

			case 'readTurns': {
				return checkListVersion(body.value.listVersion) ?? {case: 'turns', value: readChain(index.findTurn, body.value.turn)};
			}

			case 'adoptHolders': {
				return adopt(body.value.list);
			}

			case 'syncCopy': {
				return checkListVersion(body.value.listVersion) ?? answerSync(body.value.listVersion);
			}

			case 'pullRecords': {
				return checkListVersion(body.value.listVersion) ?? readRecordPage(body.value);
			}

			default: {
				return undefined;
			}
		}
	};

	const answerReservation = async (program: string, stored: ReturnType<CopyStore['add']>): Promise<MessageBodyInit> => {
		const failed = await answerWhenStored(stored, {case: 'acknowledged', value: {}});
		return failed.case === 'refused' ? failed : {case: 'tokensReserved', value: {uses: [...index.listUses(program)]}};
	};

	const settle = async ({program, use, expiresAtMs, turn}: Extract<MessageBody, {case: 'settleTurn'}>['value']): Promise<MessageBodyInit> => {
		const stored = [store.add({case: 'use', value: {program, use, expiresAtMs}})];
		if (turn) {
			stored.push(store.add({case: 'turn', value: turn}));
		}

		const answers = await Promise.all(stored.map(async each => answerWhenStored(each, {case: 'acknowledged', value: {}})));
		return answers.find(each => each.case === 'refused') ?? {case: 'acknowledged', value: {}};
	};

	const answerSync = async (listVersion: number): Promise<MessageBodyInit> => await syncCopy(listVersion) ? {case: 'acknowledged', value: {}} : REFUSED;

	return ({body, reply}) => {
		const answered = answer(body);
		if (answered === undefined) {
			return false;
		}

		void (async () => {
			reply(await answered);
		})();

		return true;
	};
};
