/**
An entry that clients can send requests to.
*/

/** `address` is `http://IP:PORT`. */
export type EntryTarget = {readonly name: string; readonly address: string};
