/**
The `--wait` flag of the commands that edit the table.
*/
import {Flags} from '@oclif/core';

const DEFAULT_WAIT_SECONDS = 30;
const MAX_WAIT_SECONDS = 3600;

/** In seconds. */
export const WAIT_FLAG = Flags.integer({
	helpValue: 'SECONDS',
	description: 'how long to ask the entries whether the edit took effect if the answer is lost',
	default: DEFAULT_WAIT_SECONDS,
	min: 0,
	max: MAX_WAIT_SECONDS,
});
