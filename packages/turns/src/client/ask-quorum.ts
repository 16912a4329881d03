/**
Asks a quorum of a replica group's holders.
*/
import type {HolderList} from '../membership/holder-list.js';
import type {askHolders} from './ask-holders.js';
import type {QuorumPlace} from './quorum-place.js';

type Round = Parameters<typeof askHolders>[0];

/** Resolves to whether the answers sufficed in time. `one` asks one holder first, `write` a write quorum, `write-later` the same with messages that may wait for others; `createAnswerHandler` is called again for each newer list. */
export type AskQuorum = (
	place: QuorumPlace,
	buildRequest: Round['buildRequest'],
	kind: 'one' | 'write' | 'write-later',
	timeoutMs: number,
	createAnswerHandler: (list: HolderList) => Round['onAnswer'],
) => Promise<boolean>;
