/**
The owner's answer to the question whether a call may go on.
*/
import type {Refusal} from '../refusal/refusal.js';
import type {TurnNumber} from '../ids/turn-number.js';
import type {OwnedCall} from './owned-call.js';

/** `wait`: ask again when the program has changed; `attach`: the same request holds a grant already. */
export type GrantDecision =
	| {readonly kind: 'go'}
	| {readonly kind: 'wait'; readonly refusalAtDeadline: Refusal}
	| {readonly kind: 'attach'; readonly call: OwnedCall}
	| {readonly kind: 'recorded'; readonly turn: TurnNumber}
	| {readonly kind: 'refuse'; readonly refusal: Refusal};
