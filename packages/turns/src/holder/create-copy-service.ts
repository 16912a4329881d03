/**
Answers the requests of other processes for the copies on this host's disk.

A request contains its replica group and the version of the group's list that its
sender uses. The holder rejects any version but its own, and the side with the
older list must adopt the newer one first, so that no write is counted under an
outdated list.
*/
import type {
	HolderList as WireHolderList, KeptTurn, Record as WireRecord, StreamOrigin, TokenUse,
} from '@siskinhub/proto/gen/siskinhub/peer/v1/peer_pb.js';
import type {MessageBody} from '@siskinhub/peer/message-body.js';
import type {MessageBodyInit} from '@siskinhub/peer/message-body-init.js';
import type {IncomingMessage} from '@siskinhub/peer/incoming-message.js';
import type {CopyRecord} from '../disk/copy-record.js';
import type {CopyStore} from '../disk/copy-store.js';
import {tokenUses} from '../disk/token-uses.js';
import {shouldReplaceUse} from '../disk/should-replace-use.js';
import type {GroupId} from '../membership/group-id.js';
import {classifyCopyRequest} from './classify-copy-request.js';
import type {CopyGap} from './copy-gap.js';
import type {CopyRequestKind} from './copy-request-kind.js';
import type {createOutputBuffer} from './create-output-buffer.js';
import {readChain} from './read-chain.js';
import type {SyncCopy} from './sync-copy.js';

type CopyServiceOptions = {
	readonly store: CopyStore;
	readonly syncCopy: SyncCopy;
	readonly outputs: ReturnType<typeof createOutputBuffer>;
	readonly onError: (message: string) => void;
	readonly onGap: (gap: CopyGap) => void;
	/** Called with each request that was answered. */
	readonly onAnswered?: (kind: CopyRequestKind) => void;
};

/** About how many bytes of records one answer holds, so that copying does not block the link. */
const PULL_TARGET_BYTES = 256 * 1024;
const RECORD_OVERHEAD_BYTES = 100;

const estimateSize = ({fact}: WireRecord): number => RECORD_OVERHEAD_BYTES + (fact.case === 'turn' ? fact.value.input.length + fact.value.output.length : 0);

type UseRequest = Pick<Extract<MessageBody, {case: 'reserveTokens'}>['value'], 'group' | 'program' | 'use' | 'earlier' | 'expiresAtMs'>;

type ReserveRequest = Extract<MessageBody, {case: 'reserveTokens'}>['value'];

type GroupRequest = {readonly group: number; readonly listVersion: number};

const REFUSED: MessageBodyInit = {case: 'refused', value: {}};

/** Whether the reservation cannot be granted by what one disk knows of its program. One that is stored already must be answered as stored. */
const exceedsBudget = ({use, budget}: ReserveRequest, uses: readonly TokenUse[]): boolean =>
	use !== undefined && budget !== undefined && uses.every(({attempt}) => attempt !== use.attempt) && tokenUses.sum([...uses, use]) > budget;

/** The returned function handles one message; it returns `false` if the message is not a request for copies. */
export const createCopyService = ({store, syncCopy, outputs, onError, onGap, onAnswered}: CopyServiceOptions): (message: IncomingMessage) => boolean => {
	const getIndex = (group: number) => store.getIndex(group as GroupId);

	/** Returns the answer to a request under another version of the group's list, or `undefined` if the version is the holder's. */
	const checkListVersion = ({group, listVersion}: GroupRequest): MessageBodyInit | undefined => {
		const list = getIndex(group).list();
		return list?.version === listVersion ? undefined : {case: 'wrongHolders', value: {list: list ?? {}}};
	};

	const adopt = async (group: number, list: WireHolderList | undefined): Promise<MessageBodyInit> => {
		const held = getIndex(group).list();
		if (!list || list.version < (held?.version ?? 0)) {
			return {case: 'wrongHolders', value: {list: held ?? {}}};
		}

		return answerWhenStored(store.add(group as GroupId, {case: 'list', value: list}), {case: 'acknowledged', value: {}});
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
	const readRecordPage = (position: {readonly group: number; readonly offset: number; readonly generation: number}): MessageBodyInit => {
		const index = getIndex(position.group);
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
				return checkListVersion(body.value) ?? reserve(body.value);
			}

			case 'settleTurn': {
				return checkListVersion(body.value) ?? settle(body.value);
			}

			case 'readTurns': {
				const {group, turn} = body.value;
				return checkListVersion(body.value) ?? {case: 'turns', value: readChain(getIndex(group).findTurn, turn)};
			}

			case 'findTurn': {
				return findTurn(body.value);
			}

			case 'recordOrigin': {
				return checkListVersion(body.value) ?? recordOrigin(body.value);
			}

			case 'readOrigin': {
				const {group, attempt} = body.value;
				return checkListVersion(body.value) ?? {case: 'origin', value: {origin: getIndex(group).findOrigin(attempt)}};
			}

			case 'readOutput': {
				return checkListVersion(body.value) ?? {case: 'output', value: {events: [...outputs.read(body.value.attempt)]}};
			}

			case 'adoptHolders': {
				return adopt(body.value.group, body.value.list);
			}

			case 'syncCopy': {
				return checkListVersion(body.value) ?? answerSync(body.value);
			}

			case 'pullRecords': {
				return checkListVersion(body.value) ?? readRecordPage(body.value);
			}

			default: {
				return undefined;
			}
		}
	};

	const findTurn = ({turn, groups}: Extract<MessageBody, {case: 'findTurn'}>['value']): MessageBodyInit => {
		const searched = groups.filter(position => !checkListVersion(position)).map(({group}) => group);
		return {case: 'turnPlace', value: {searched, foundIn: searched.find(group => getIndex(group).findTurn(turn))}};
	};

	const storeAll = async (group: number, facts: readonly CopyRecord[]): Promise<MessageBodyInit> => {
		const answers = await Promise.all(facts.map(async fact => answerWhenStored(store.add(group as GroupId, fact), {case: 'acknowledged', value: {}})));
		return answers.find(each => each.case === 'refused') ?? {case: 'acknowledged', value: {}};
	};

	/** Returns the records of a use and of the earlier ones that were sent with it. */
	const listUseFacts = ({group, program, use, earlier, expiresAtMs}: UseRequest): readonly CopyRecord[] => {
		const known = new Map(getIndex(group).listUses(program).map(each => [each.attempt, each]));
		const missing = earlier.filter(each => shouldReplaceUse(known.get(each.attempt), each));
		if (missing.length > 0) {
			onGap({
				group: group as GroupId, data: 'uses', writeOf: use?.attempt ?? '', missing: missing[0]!.attempt,
			});
		}

		return [...missing, use].map(each => ({case: 'use', value: {program, use: each, expiresAtMs}}));
	};

	/** Whether no later or other origin of the attempt holds instead. */
	const holdsOrigin = (group: number, {attempt, sequence, takenUpBy, version}: StreamOrigin): boolean => {
		const held = getIndex(group).findOrigin(attempt);
		return held?.sequence === sequence && held.takenUpBy === takenUpBy && held.version === version;
	};

	const reserve = async (request: ReserveRequest): Promise<MessageBodyInit> => {
		const index = getIndex(request.group);
		if (exceedsBudget(request, index.listUses(request.program)) && index.extendUses(request.program, request.expiresAtMs)) {
			return {case: 'tokensReserved', value: {uses: [...index.listUses(request.program)], declined: true}};
		}

		const {origin, readTurn} = request;
		const stored = await storeAll(request.group, [...listUseFacts(request), ...(origin ? [{case: 'origin' as const, value: origin}] : [])]);
		return stored.case === 'refused'
			? stored
			: {
				case: 'tokensReserved', value: {
					uses: [...index.listUses(request.program)],
					originStored: origin !== undefined && holdsOrigin(request.group, origin),
					turns: readTurn === '' ? [] : readChain(index.findTurn, readTurn).turns,
				},
			};
	};

	/** Returns the id of the newest turn of the chain before `turn` that neither the disk nor `ancestors` has; empty if there is none. */
	const findMissing = (group: number, turn: KeptTurn, ancestors: readonly KeptTurn[]): string => {
		const sent = new Map(ancestors.map(ancestor => [ancestor.id, ancestor]));
		const {findTurn} = getIndex(group);
		return readChain(id => findTurn(id) ?? sent.get(id), turn.previous).missing;
	};

	const settle = async (request: Extract<MessageBody, {case: 'settleTurn'}>['value']): Promise<MessageBodyInit> => {
		const {group, turn, ancestors, requiresChain} = request;
		const missing = turn && requiresChain ? findMissing(group, turn, ancestors) : '';
		if (missing !== '') {
			onGap({
				group: group as GroupId, data: 'chain', writeOf: turn!.id, missing,
			});
			return {case: 'chainIncomplete', value: {missing}};
		}

		const turns = [...ancestors, ...(turn ? [turn] : [])];
		return storeAll(group, [...listUseFacts(request), ...turns.map(value => ({case: 'turn' as const, value}))]);
	};

	/** Of two records with the same number that two processes wrote at the same time, each disk takes one, so at most one of them gets a write quorum. */
	const recordOrigin = async ({group, origin}: Extract<MessageBody, {case: 'recordOrigin'}>['value']): Promise<MessageBodyInit> => {
		if (!origin) {
			return REFUSED;
		}

		const stored = store.add(group as GroupId, {case: 'origin', value: origin});
		return answerWhenStored(stored, holdsOrigin(group, origin) ? {case: 'acknowledged', value: {}} : REFUSED);
	};

	const answerSync = async ({group, listVersion}: GroupRequest): Promise<MessageBodyInit> => await syncCopy(group as GroupId, listVersion) ? {case: 'acknowledged', value: {}} : REFUSED;

	return ({body, reply}) => {
		if (body.case === 'appendOutput') {
			outputs.append(body.value.attempt, body.value.offset, body.value.events);
			return true;
		}

		const answered = answer(body);
		if (answered === undefined) {
			return false;
		}

		void (async () => {
			try {
				const answer = await answered;
				reply(answer);
				onAnswered?.(classifyCopyRequest(body, answer));
			} catch (error) {
				onError(String(error));
				reply(REFUSED);
			}
		})();

		return true;
	};
};
