/** Why a body was not read whole, for no fault in the request: this process has no room for it, or it did not come in the request's time. */
export type UnreadReason = 'no-room' | 'slow-body';
