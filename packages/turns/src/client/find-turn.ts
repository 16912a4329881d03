/**
Finds the replica group that has a turn.
*/
import type {GroupId} from '../membership/group-id.js';

/** `unsearched` are the groups of which too few holders have answered. */
type TurnSearch = {readonly kind: 'found'; readonly group: GroupId} | {readonly kind: 'not-found'; readonly unsearched: readonly GroupId[]};

export type FindTurn = (turn: string, groups: readonly GroupId[], timeoutMs: number) => Promise<TurnSearch>;
