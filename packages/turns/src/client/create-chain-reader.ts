/**
Reads chains of turns from the replica groups.

A program may continue from a turn of another program. Such a turn is searched
for in all groups, and its chain is stored again in the program's own group with
the first turn that continues it.
*/
import type {KeptTurn} from '@siskinhub/proto/gen/siskinhub/peer/v1/peer_pb.js';
import {findGroup} from '../membership/find-group.js';
import {hasQuorum} from '../membership/has-quorum.js';
import {listGroups} from '../membership/list-groups.js';
import type {GroupId} from '../membership/group-id.js';
import type {AskQuorum} from './ask-quorum.js';
import type {FindTurn} from './find-turn.js';
import type {HolderClient} from './holder-client.js';
import type {QuorumPlace} from './quorum-place.js';

type ReaderOptions = {
	readonly askQuorum: AskQuorum;
	/** Number of disks that may be lost at the same time. */
	readonly losses: number;
	readonly findTurn: FindTurn;
	/** Returns what the holders told of the chain when the attempt reserved its tokens, newest first. */
	readonly takeChain: (attempt: string) => readonly KeptTurn[];
};

type ChainRead = {readonly kind: 'found'; readonly turns: readonly KeptTurn[]} | {readonly kind: 'unknown' | 'unavailable'};

export const createChainReader = ({askQuorum, losses, findTurn, takeChain}: ReaderOptions): HolderClient['readTurns'] => {
	/** Reads `turn` and the turns before it, newest first. The turns of a chain may be on different holders, so the result may end before the start of the chain. */
	const readChainPart = async (place: QuorumPlace, turn: string, timeoutMs: number): Promise<{readonly turns: readonly KeptTurn[]; readonly isAnswered: boolean}> => {
		let longest: readonly KeptTurn[] = [];
		const isAnswered = await askQuorum(place, listVersion => ({case: 'readTurns', value: {group: place.group, listVersion, turn}}), 'one', timeoutMs, list => {
			const answered = new Set<string>();
			return ({diskId}, answer) => {
				if (answer.case === 'turns') {
					answered.add(diskId);
					longest = answer.value.turns.length > longest.length ? answer.value.turns : longest;
				}

				return longest.length > 0 || hasQuorum(list, 'read', answered, losses) ? 'enough' : 'more';
			};
		});
		return {turns: longest, isAnswered};
	};

	/** `known` is the part of the chain that has been read already, newest first. */
	const readChain = async (place: QuorumPlace, turn: string, timeoutMs: number, known: readonly KeptTurn[] = []): Promise<ChainRead> => {
		const deadline = Date.now() + timeoutMs;
		const chain: KeptTurn[] = [...known];
		for (let next = known.at(-1)?.previous ?? turn; next !== '';) {
			const {turns, isAnswered} = await readChainPart(place, next, deadline - Date.now());
			if (turns.length === 0) {
				// If later turns were found, a missing earlier one does not prove that `turn` is unknown.
				return {kind: isAnswered && chain.length === 0 ? 'unknown' : 'unavailable'};
			}

			chain.push(...turns);
			next = turns.at(-1)!.previous;
		}

		return {kind: 'found', turns: chain.toReversed()};
	};

	/** Resolves as soon as one of the groups has the turn; `unknown` only if every one has answered that it does not. */
	const readAnyChain = async (program: string, turn: string, groups: readonly GroupId[], timeoutMs: number): Promise<ChainRead> => {
		const reads = groups.map(async group => readChain({program, group}, turn, timeoutMs));
		const found = Promise.any(reads.map(async read => {
			const result = await read;
			return result.kind === 'found' ? result : Promise.reject(new Error('The group does not have the turn.'));
		}));
		try {
			return await found;
		} catch {
			const results = await Promise.all(reads);
			return {kind: results.every(({kind}) => kind === 'unknown') ? 'unknown' : 'unavailable'};
		}
	};

	const searchOtherGroups = async (program: string, turn: string, timeoutMs: number): Promise<ChainRead> => {
		const deadline = Date.now() + timeoutMs;
		const own = findGroup(program);
		const search = await findTurn(turn, listGroups().filter(group => group !== own), timeoutMs);
		return readAnyChain(program, turn, search.kind === 'found' ? [search.group] : search.unsearched, deadline - Date.now());
	};

	return async (program, turn, timeoutMs, attempt) => {
		const deadline = Date.now() + timeoutMs;
		const known = attempt === undefined ? [] : takeChain(attempt);
		const read = await readChain({program, group: findGroup(program)}, turn, timeoutMs, known);
		if (read.kind !== 'unknown') {
			return read.kind === 'found' ? {...read, isFromOtherGroup: false} : read;
		}

		const searched = await searchOtherGroups(program, turn, deadline - Date.now());
		return searched.kind === 'found' ? {...searched, isFromOtherGroup: true} : searched;
	};
};
