/**
The result of one attempt of a call.
*/
import type {Operation} from '../history/operation.js';

/** The recorded operation, and the text received so far, which is a prefix of the answer if the attempt was cut. */
export type CallResult = {readonly operation: Operation; readonly text: string};
