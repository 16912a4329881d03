/** How a request's body ends. `length` is in bytes, and `undefined` for a body in chunks. */
export type RequestFraming = {readonly length: number | undefined; readonly isComplete: () => boolean};
