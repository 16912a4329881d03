/**
Numbers the turns of a program.
*/
import type {Brand} from '../brand.js';

/** The position of a turn in its program, from 1. */
export type TurnNumber = Brand<number, 'TurnNumber'>;
