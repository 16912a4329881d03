/**
Type of the level of a logger.
*/

/** Lowest level that is logged; `silent` logs nothing. */
export type LogLevel = 'trace' | 'debug' | 'info' | 'warn' | 'error' | 'silent';
