/**
The type of a stand-in engine.
*/
import type {createEngine} from './create-engine.js';

/** An engine without its HTTP. */
export type Engine = ReturnType<typeof createEngine>;
