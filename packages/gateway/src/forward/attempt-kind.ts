/**
Why a request is sent to an upstream.
*/

/** `copy`: an extra send of a repeatable request while an earlier one still waits for its answer. */
export type AttemptKind = 'first' | 'retry' | 'copy';
