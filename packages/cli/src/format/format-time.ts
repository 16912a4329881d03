/**
Formats timestamps for operators.
*/

/** In UTC, to the second, such as `2026-01-31 09:30:00Z`. */
export const formatTime = (epochMs: number): string => `${new Date(epochMs).toISOString().slice(0, 19).replace('T', ' ')}Z`;
