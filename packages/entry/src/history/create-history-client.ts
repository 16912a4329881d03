/**
Reads and writes copies of program histories on several holders at once. Every
read quorum has a holder in common with every write quorum
(packages/core/src/owner/count-read-quorum.ts).
*/
import {err, ok, type Result} from 'neverthrow';
import {chooseLatestValidCopy} from '@siskinhub/core/history/choose-latest-valid-copy.js';
import type {ProgramHistory} from '@siskinhub/core/history/program-history.js';
import type {ProgramId} from '@siskinhub/core/ids/program-id.js';
import type {ShardId} from '@siskinhub/core/ids/shard-id.js';
import {countReadQuorum} from '@siskinhub/core/owner/count-read-quorum.js';
import {countWriteQuorum} from '@siskinhub/core/owner/count-write-quorum.js';
import type {HistoryHolder} from '@siskinhub/core/owner/history-holder.js';
import type {Refusal} from '@siskinhub/core/refusal/refusal.js';
import type {MessageBody} from '@siskinhub/peer/message-body.js';
import type {MessageBodyInit} from '@siskinhub/peer/message-body-init.js';
import type {AskPeer} from '../ask-peer.js';
import {decodeHistory} from './decode-history.js';
import {encodeTurn} from './encode-turn.js';
import type {HistoryClient} from './history-client.js';
import {reachQuorum} from './reach-quorum.js';

const HOLDER_TIMEOUT_MS = 3000;
const RETRY_AFTER_MS = 1000;
/** Attempts to get replies from a read quorum. */
const READ_ATTEMPTS = 3;

type HolderReply = {readonly holder: HistoryHolder; readonly body: MessageBody};

const createTooFewHoldersRefusal = (what: string): Refusal => ({
	code: 'unavailable',
	message: `Too few history holders answered to ${what}; send the same request again.`,
	retryAfterMs: RETRY_AFTER_MS,
});

const isAcknowledged = ({body}: HolderReply): boolean => body.case === 'acknowledged';

/** Returns the history up to and including the turn with this digest, or undefined if it has no such turn. An empty digest stands for the history without turns. */
const truncateAtDigest = (history: ProgramHistory | undefined, digest: string): ProgramHistory | undefined => {
	const end = digest === '' ? 0 : (history?.turns.findIndex(turn => turn.digest === digest) ?? -1) + 1;
	return history && (digest === '' || end > 0) ? {...history, turns: history.turns.slice(0, end)} : undefined;
};

/** Creates the stateless client of the entry at `ownAddress`. */
export const createHistoryClient = (ask: AskPeer, ownAddress: string): HistoryClient => {
	// A digest identifies exactly one history, so any holder's copy will do; the entry's own is the nearest.
	const sortOwnFirst = (holders: readonly HistoryHolder[]): readonly HistoryHolder[] =>
		holders.toSorted((a, b) => Number(b.peerAddress === ownAddress) - Number(a.peerAddress === ownAddress));

	const askHolder = async (holder: HistoryHolder, body: MessageBodyInit, traceparent?: string): Promise<HolderReply | undefined> => {
		const reply = await ask(holder.peerAddress, body, {timeoutMs: HOLDER_TIMEOUT_MS, traceparent});
		return reply.isOk() ? {holder, body: reply.value} : undefined;
	};

	const write = async (holders: readonly HistoryHolder[], body: MessageBodyInit, what: string, traceparent?: string): Promise<Result<void, Refusal>> => {
		const {isReached, replies} = await reachQuorum(
			holders.map(async holder => askHolder(holder, body, traceparent)),
			isAcknowledged,
			countWriteQuorum(holders.length),
		);
		if (isReached) {
			return ok();
		}

		const refused = replies.find(reply => reply.body.case === 'refused');
		return refused?.body.case === 'refused'
			? err({code: 'unavailable', message: `A history holder refused to ${what}: ${refused.body.value.message}`, retryAfterMs: RETRY_AFTER_MS})
			: err(createTooFewHoldersRefusal(what));
	};

	const readCopies = async (holders: readonly HistoryHolder[], program: ProgramId): Promise<Result<readonly ProgramHistory[], Refusal>> => {
		for (let attempt = 0; attempt < READ_ATTEMPTS; attempt++) {
			const {isReached, replies} = await reachQuorum(
				holders.map(async holder => askHolder(holder, {case: 'readHistory', value: {program}})),
				reply => reply.body.case === 'history',
				countReadQuorum(holders.length),
			);
			const copies = replies.flatMap(({body}) => body.case === 'history' ? [body.value] : []);
			if (isReached) {
				return ok(copies.flatMap(copy => decodeHistory(copy) ?? []));
			}
		}

		return err(createTooFewHoldersRefusal('read the history'));
	};

	const listHolderPrograms = async (holder: HistoryHolder, shard: ShardId): Promise<readonly ProgramId[] | undefined> => {
		const programs: ProgramId[] = [];
		for (;;) {
			const page = await askHolder(holder, {case: 'listShard', value: {shard, afterProgram: programs.at(-1) ?? ''}});
			if (page?.body.case !== 'shardCopy') {
				return undefined;
			}

			programs.push(...page.body.value.programs.map(copy => copy.program as ProgramId));
			if (!page.body.value.more) {
				return programs;
			}
		}
	};

	return {
		writeHeader: async ({shard, epoch, holders}, header) => write(holders, {case: 'writeHeader', value: {shard, epoch: BigInt(epoch), header}}, 'store the program'),
		appendTurn: async ({
			shard, epoch, holders, traceparent,
		}, turn) => write(holders, {case: 'appendTurn', value: {shard, epoch: BigInt(epoch), turn: encodeTurn(turn)}}, 'store the turn', traceparent),
		markEnded: async ({shard, epoch, holders}, program) => write(holders, {case: 'markEnded', value: {shard, epoch: BigInt(epoch), program}}, 'end the program'),
		repair: async ({shard, epoch, holders}, {header, turns, ended}) => write(
			holders,
			{case: 'repairProgram', value: {shard, epoch: BigInt(epoch), history: {header, turns: turns.map(turn => encodeTurn(turn)), ended}}},
			'repair the history',
		),
		async readLatest(holders, program) {
			const copies = await readCopies(holders, program);
			return copies.map(found => {
				const latest = chooseLatestValidCopy(found);
				return latest && {...latest, ended: found.some(copy => copy.ended)};
			});
		},
		async readUpToDigest(holders, program, digest) {
			for (const holder of sortOwnFirst(holders)) {
				const reply = await askHolder(holder, {case: 'readHistory', value: {program}});
				const history = reply?.body.case === 'history' ? truncateAtDigest(decodeHistory(reply.body.value), digest) : undefined;
				if (history) {
					return ok(history);
				}
			}

			return err({code: 'history-mismatch', message: 'No holder has the history that the program\'s owner names; send the whole history with the call.'});
		},
		async listPrograms(holders, shard) {
			const lists = await Promise.all(holders.map(async holder => listHolderPrograms(holder, shard)));
			const answered = lists.filter(list => list !== undefined);
			return answered.length >= countReadQuorum(holders.length)
				? ok([...new Set(answered.flat())])
				: err(createTooFewHoldersRefusal('list the programs'));
		},
		async fence({shard, epoch, holders}) {
			const replies = await Promise.all(holders.map(async holder => askHolder(holder, {
				case: 'fenceShard',
				value: {shard, epoch: BigInt(epoch), dataFolderId: holder.dataFolderId},
			})));
			const fenced = replies.flatMap(reply => reply && isAcknowledged(reply) ? [reply.holder] : []);
			return fenced.length >= countReadQuorum(holders.length) ? ok(fenced) : err(createTooFewHoldersRefusal('take the shard over'));
		},
	};
};
