/**
Queries every copy holder for its copies of one turn and of the turns before it.
*/
import type {PeerLink} from '@siskinhub/peer/peer-link.js';
import {askHolder} from '@siskinhub/turns/membership/ask-holder.js';
import type {Holder} from '@siskinhub/turns/membership/holder.js';
import type {HolderList} from '@siskinhub/turns/membership/holder-list.js';
import {listAllHolders} from '@siskinhub/turns/membership/list-all-holders.js';

const HOLDER_TIMEOUT_MS = 1500;

/** `turns` is sorted from the newest to the oldest, and absent if the holder did not answer. */
type HolderCopies = {
	readonly holder: Holder;
	readonly turns?: ReadonlyArray<{readonly id: string; readonly inputBytes: number; readonly outputBytes: number; readonly expiresAtMs: number}>;
};

/** Resolves to one element for each holder on the list. */
export const readTurnCopies = async (list: HolderList, turn: string, linkTo: (address: string) => PeerLink): Promise<readonly HolderCopies[]> =>
	Promise.all(listAllHolders(list).map(async holder => {
		const answer = await askHolder(linkTo(holder.address), holder, {case: 'readTurns', value: {listVersion: list.version, turn}}, HOLDER_TIMEOUT_MS);
		if (answer.isErr() || answer.value.case !== 'turns') {
			return {holder};
		}

		return {
			holder, turns: answer.value.value.turns.map(({id, input, output, expiresAtMs}) => ({
				id, inputBytes: input.length, outputBytes: output.length, expiresAtMs,
			})),
		};
	}));
