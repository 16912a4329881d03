/**
Distinguishes a connection that was never established from one that broke.
*/

const CONNECT_FAILURE_CODES: ReadonlySet<unknown> = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'UND_ERR_CONNECT_TIMEOUT']);

/** Returns true if no part of the request can have reached the other side. */
export const isConnectFailure = (error: unknown): boolean => error instanceof Error && 'code' in error && CONNECT_FAILURE_CODES.has(error.code);
