/**
Finds the replica group that has a turn, if it is not that of the program.

Expected load: a program that continues a turn of another one, and callers that name a
turn that there is not. Each disk is asked once for all of its groups, since a question
to each group would take five times as many requests as there are groups.
*/
import type {PeerLink} from '@siskinhub/peer/peer-link.js';
import {askHolder} from '../membership/ask-holder.js';
import type {GroupId} from '../membership/group-id.js';
import {hasQuorum} from '../membership/has-quorum.js';
import type {Holder} from '../membership/holder.js';
import type {HolderList} from '../membership/holder-list.js';
import {listAllHolders} from '../membership/list-all-holders.js';
import type {FindTurn} from './find-turn.js';

type FinderOptions = {
	readonly readList: (group: GroupId) => HolderList | undefined;
	readonly linkTo: (holder: Holder) => PeerLink;
	/** Number of disks that may be lost at the same time. */
	readonly losses: number;
};

type Question = {readonly holder: Holder; readonly groups: Array<{readonly group: GroupId; readonly listVersion: number}>};

/** Some round trips; a holder that takes longer than this is left out. */
const MAX_WAIT_MS = 250;

const listQuestions = (lists: ReadonlyMap<GroupId, HolderList>): readonly Question[] => {
	const questions = new Map<string, Question>();
	for (const [group, list] of lists) {
		for (const holder of listAllHolders(list)) {
			const question = questions.get(holder.diskId) ?? {holder, groups: []};
			questions.set(holder.diskId, question);
			question.groups.push({group, listVersion: list.version});
		}
	}

	return [...questions.values()];
};

export const createTurnFinder = ({readList, linkTo, losses}: FinderOptions): FindTurn => async (turn, groups, timeoutMs) => new Promise(resolve => {
	const lists = new Map(groups.map(group => [group, readList(group)] as const).filter((entry): entry is [GroupId, HolderList] => entry[1] !== undefined));
	const answered = new Map<GroupId, Set<string>>(groups.map(group => [group, new Set()]));
	const listUnsearched = (): readonly GroupId[] => groups.filter(group => !lists.has(group) || !hasQuorum(lists.get(group)!, 'read', answered.get(group)!, losses));
	const finish = (search: Awaited<ReturnType<FindTurn>>): void => {
		clearTimeout(timer);
		resolve(search);
	};

	const waitMs = Math.min(MAX_WAIT_MS, timeoutMs);
	const timer = setTimeout(() => {
		finish({kind: 'not-found', unsearched: listUnsearched()});
	}, waitMs);

	const ask = async ({holder, groups: asked}: Question): Promise<void> => {
		const answer = await askHolder(linkTo(holder), holder, {case: 'findTurn', value: {turn, groups: asked}}, waitMs);
		if (answer.isErr() || answer.value.case !== 'turnPlace') {
			return;
		}

		const {foundIn, searched} = answer.value.value;
		if (foundIn !== undefined) {
			finish({kind: 'found', group: foundIn as GroupId});
			return;
		}

		for (const group of searched) {
			answered.get(group as GroupId)?.add(holder.diskId);
		}

		if (listUnsearched().length === 0) {
			finish({kind: 'not-found', unsearched: []});
		}
	};

	for (const question of listQuestions(lists)) {
		void ask(question);
	}
});
