/**
Type of the fields of a log line.
*/

/** Fields that a log line has besides its message; ids use the keys `requestId`, `programId`, `upstream` and `traceparent`. */
export type LogFields = Readonly<Record<string, unknown>>;
