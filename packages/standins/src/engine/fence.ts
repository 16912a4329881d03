/**
The check of fencing numbers in an engine stand-in.
*/

/** Returns whether a request with this fencing number may still take effect in its scope, and remembers the number. */
export type Fence = (scope: string, fencingNumber: number | undefined) => boolean;
