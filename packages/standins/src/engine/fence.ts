/**
The check of fencing numbers in a stand-in engine.
*/

/** Says whether an order with this number may still take effect in its scope. */
export type Fence = (scope: string, fencingNumber: number | undefined) => boolean;
