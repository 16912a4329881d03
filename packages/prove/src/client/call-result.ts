/**
What a client has of a call.
*/
import type {Operation} from '../history/operation.js';

/** An operation and the text that it received, which is a prefix of the answer if it was cut. */
export type CallResult = {readonly operation: Operation; readonly text: string};
