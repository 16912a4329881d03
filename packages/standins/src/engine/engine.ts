/**
The engine stand-in as its HTTP routes use it.
*/
import type {createEngine} from './create-engine.js';

/** The state and the operations of one engine. */
export type Engine = ReturnType<typeof createEngine>;
