/**
How long a link may keep a message that nobody waits for.
*/

/** In milliseconds; below the time within which the tokens of an ended turn must be free for the next one. */
export const MAX_DEFERRAL_MS = 200;
