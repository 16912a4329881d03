/**
Queries the copy holders of every replica group for their copies of one turn and
of the turns before it. The program of the turn, and so its group, is not known.
*/
import type {PeerLink} from '@siskinhub/peer/peer-link.js';
import {askHolder} from '@siskinhub/turns/membership/ask-holder.js';
import type {Holder} from '@siskinhub/turns/membership/holder.js';
import {listAllHolders} from '@siskinhub/turns/membership/list-all-holders.js';
import type {SystemState} from './system-state.js';

const HOLDER_TIMEOUT_MS = 1500;

/** `turns` is sorted from the newest to the oldest, and absent if the holder did not answer for one of its groups. */
type HolderCopies = {
	readonly holder: Holder;
	readonly turns?: ReadonlyArray<{readonly id: string; readonly inputBytes: number; readonly outputBytes: number; readonly expiresAtMs: number}>;
};

type Group = SystemState['groups'][number];

const readFromGroup = async (holder: Holder, {group, version}: Group, turn: string, link: PeerLink): Promise<HolderCopies['turns']> => {
	const answer = await askHolder(link, holder, {case: 'readTurns', value: {group, listVersion: version, turn}}, HOLDER_TIMEOUT_MS);
	return answer.isErr() || answer.value.case !== 'turns'
		? undefined
		: answer.value.value.turns.map(({id, input, output, expiresAtMs}) => ({
			id, inputBytes: input.length, outputBytes: output.length, expiresAtMs,
		}));
};

/** Resolves to one element for each disk that is in a group. */
export const readTurnCopies = async (groups: readonly Group[], turn: string, linkTo: (address: string) => PeerLink): Promise<readonly HolderCopies[]> => {
	const holders = new Map(groups.flatMap(group => listAllHolders(group)).map(holder => [holder.diskId, holder]));
	return Promise.all([...holders.values()].map(async holder => {
		const ownGroups = groups.filter(group => listAllHolders(group).some(({diskId}) => diskId === holder.diskId));
		const answers = await Promise.all(ownGroups.map(async group => readFromGroup(holder, group, turn, linkTo(holder.address))));
		const found = answers.find(turns => turns && turns.length > 0);
		const isComplete = found !== undefined || answers.every(turns => turns !== undefined);
		return isComplete ? {holder, turns: found ?? []} : {holder};
	}));
};
