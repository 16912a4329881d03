/**
The owner's decision whether a call may take the next turn of its program.
*/
import type {Refusal} from '../refusal/refusal.js';
import type {TurnNumber} from '../ids/turn-number.js';
import type {OwnedCall} from './owned-call.js';

/** `go`: the turn is free; `wait`: decide again when the program has changed; `attach`: the same request already holds a grant; `recorded`: its turn is already stored. */
export type GrantDecision =
	| {readonly kind: 'go'}
	| {readonly kind: 'wait'; readonly refusalAtDeadline: Refusal}
	| {readonly kind: 'attach'; readonly call: OwnedCall}
	| {readonly kind: 'recorded'; readonly turn: TurnNumber}
	| {readonly kind: 'refuse'; readonly refusal: Refusal};
