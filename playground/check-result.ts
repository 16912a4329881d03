/**
The result of one check of the playground.
*/

/** `name` states the expected condition; `detail` says what was found. */
export type CheckResult = {readonly name: string; readonly isMet: boolean; readonly detail: string};
