/**
Tells whether a request of a route may run on another upstream once it may have run
on one.
*/
import type {Route} from './route.js';

export const isRepeatable = ({kind, isResumable}: Pick<Route, 'kind' | 'isResumable'>): boolean => kind === 'idempotent' || (kind === 'stream' && isResumable);
