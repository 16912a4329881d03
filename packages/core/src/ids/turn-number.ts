/**
Numbers the turns of a program.
*/
import type {Brand} from '../brand.js';

/** A turn's place in its program, from 1. */
export type TurnNumber = Brand<number, 'TurnNumber'>;
