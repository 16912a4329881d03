/**
Converts a time span for a message of a link, whose fields hold whole numbers of 32
bits.
*/

const MAX_UINT32 = 0xFF_FF_FF_FF;

/** A longer span, of over 49 days, becomes the longest that the field holds. */
export const toWireMs = (ms: number): number => Math.min(MAX_UINT32, Math.max(0, Math.round(ms)));
