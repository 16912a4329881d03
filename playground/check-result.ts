/**
The result of one check after the program's end.
*/

/** `detail` says what was found. */
export type CheckResult = {readonly name: string; readonly isMet: boolean; readonly detail: string};
