/**
Tells whether a request is a turn that the system keeps for the turns after it.
*/
import type {CallHead} from '../call/call-head.js';
import type {Route} from '../routes/route.js';

export const isKeptTurn = ({program}: Pick<CallHead, 'program'>, {kind, keepsTurns}: Pick<Route, 'kind' | 'keepsTurns'>): boolean => kind === 'stream' && keepsTurns && program !== undefined;
