/**
Chooses the status with which a caller learns that the quota does not let its request
run.
*/
import type {QuotaDecision} from './quota-decision.js';

const TOO_MANY_REQUESTS = 429;
/** The workspace may be within its limit; another gateway may reach an issuer. */
const UNAVAILABLE = 503;

export const chooseOverStatus = (reason: Extract<QuotaDecision, {kind: 'over'}>['reason']): number => reason === 'no-issuer' ? UNAVAILABLE : TOO_MANY_REQUESTS;
