/**
Formats fields of log lines as text.
*/

/** Text stays as it is; anything else is JSON, and `undefined` is an empty string. */
export const formatField = (value: unknown): string => typeof value === 'string' ? value : JSON.stringify(value) ?? '';
