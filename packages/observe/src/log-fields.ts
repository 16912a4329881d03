/**
Fields of a log line.
*/

/** What a log line says beside its message; ids go under `requestId`, `programId`, `upstream` and `traceparent`. */
export type LogFields = Readonly<Record<string, unknown>>;
