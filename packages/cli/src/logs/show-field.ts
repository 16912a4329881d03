/**
Fields of log lines as text.
*/

/** Text stays as it is; anything else is JSON. */
export const showField = (value: unknown): string => typeof value === 'string' ? value : JSON.stringify(value) ?? '';
