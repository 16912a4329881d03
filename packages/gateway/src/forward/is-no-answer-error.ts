/**
Tells an answer that was given up for what its upstream sent from one whose
connection ended.
*/
import {errors} from 'undici';
import {NoAnswerError} from './no-answer-error.js';

/** `error` is what undici failed a request with. The parser names no bytes if they were all right and only ended too early. */
export const isNoAnswerError = (error: Error): boolean =>
	error instanceof NoAnswerError || (error instanceof errors.HTTPParserError && 'data' in error && Boolean(error.data));
