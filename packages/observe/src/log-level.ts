/**
Levels of the log.
*/

/** Lowest level that is written; `silent` writes nothing. */
export type LogLevel = 'trace' | 'debug' | 'info' | 'warn' | 'error' | 'silent';
