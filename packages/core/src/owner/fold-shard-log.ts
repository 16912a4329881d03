/**
Computes the state of a shard from its log, one item at a time.
*/
import type {ProgramId} from '../ids/program-id.js';
import type {ShardLogItem} from './shard-log-item.js';
import type {ShardLogState} from './shard-log-state.js';

type ProgramRequests = ShardLogState['programs'][string];

const NO_REQUESTS: ProgramRequests = {claims: [], closed: []};

const updateRequests = (state: ShardLogState, program: ProgramId, change: (entry: ProgramRequests) => ProgramRequests): ShardLogState => {
	const {[program]: known, ...others} = state.programs;
	const entry = change(known ?? NO_REQUESTS);
	const isEmpty = entry.claims.length === 0 && entry.closed.length === 0;
	return {...state, programs: isEmpty ? others : {...others, [program]: entry}};
};

/** Returns the state after `item`. */
export const foldShardLog = (state: ShardLogState, item: ShardLogItem): ShardLogState => {
	switch (item.kind) {
		case 'take-over': {
			return {
				...state,
				epoch: item.epoch,
				owner: {host: item.owner, instance: item.instance, peerAddress: item.peerAddress},
				holders: item.holders,
				sources: item.sources,
			};
		}

		case 'refilled': {
			return {...state, sources: []};
		}

		case 'hand-over': {
			const {owner: _, ...rest} = state;
			return rest;
		}

		case 'claim': {
			return updateRequests(state, item.claim.program, entry => ({
				...entry,
				claims: [...entry.claims.filter(claim => claim.requestId !== item.claim.requestId), item.claim],
			}));
		}

		case 'close': {
			return updateRequests(state, item.program, entry => ({
				claims: entry.claims.filter(claim => claim.requestId !== item.requestId),
				closed: [...entry.closed.filter(request => request.requestId !== item.requestId), {requestId: item.requestId, turn: item.turn, fate: item.fate}],
			}));
		}

		case 'advance': {
			return updateRequests(state, item.program, entry => ({
				claims: entry.claims.filter(claim => claim.turn > item.turn),
				// A request with an unknown outcome stays on record, so that retries of it are refused for as long as its program is open.
				closed: entry.closed.filter(request => request.turn > item.turn || request.fate === 'outcome-unknown'),
			}));
		}
	}
};
