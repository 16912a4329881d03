/**
Tells whether tokens are reserved before a request runs.
*/
import type {CallHead} from '../call/call-head.js';

/** Of a request on a route of streams. */
export const reservesTokens = ({program, prompt}: Pick<CallHead, 'program' | 'prompt'>): boolean => program?.tokenBudget !== undefined && prompt !== undefined;
